"""A gateway as a member of the deployment: its row in the store and its liveness times."""

from __future__ import annotations

from typing import Annotated

import attrs
import msgspec

from limeshelf.membership.liveness import is_active
from limeshelf.util.addresses import MAX_PORT
from limeshelf.util.clock import boottime_s

MEMBER_TABLE = 'members'
#: Used in place of a peer address to denote this process.
LOCAL = ''


class MemberValue(msgspec.Struct):
    """Value of a gateway's row in the members table.

    :ivar weight: spare capacity for relaying; the gateways with the highest weight are relays.
    :ivar forward_port: where it takes calls that other gateways forward; unset if it takes none,
        as those of earlier releases do.
    """

    address: str
    data_centre: str = ''
    weight: float = 0.0
    forward_port: Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)] | msgspec.UnsetType = (
        msgspec.UNSET
    )


@attrs.define
class Member:
    """A gateway, identified by its peer address; times are on this machine's boot clock.

    :ivar weight: see :class:`MemberValue`; 0 until it is known.
    :ivar forward_port: see :class:`MemberValue`; 0 if it takes none, or until it is known.
    :ivar last_message_s: when its last message was received; 0 if none was, or if the gateway
        announced its shutdown.
    :ivar last_retry_s: when a message was last sent to it while it was inactive.
    :ivar relay_since_s: since when its rank has made it a relay; 0 while it is no relay. A
        gateway that becomes a relay needs some time until its first message as a relay is due.
    """

    address: str
    data_centre: str = ''
    weight: float = 0.0
    last_message_s: float = 0.0
    last_retry_s: float = 0.0
    relay_since_s: float = 0.0
    forward_port: int = 0

    @property
    def host(self) -> str:
        """Return the IP address of the gateway."""
        return self.address.rpartition(':')[0]

    @property
    def forward_address(self) -> str:
        """Return the address for forwarded calls, as ``IP:PORT``."""
        return f'{self.host}:{self.forward_port}'

    @property
    def is_active(self) -> bool:
        """Return whether a message from it was received recently."""
        return is_active(boottime_s() - self.last_message_s)

    @property
    def rank_key(self) -> tuple[float, str]:
        """Return the sort key within a data centre; it puts the highest rank first."""
        return (-self.weight, self.address)

    def since_message_s(self, now_s: float) -> float:
        """Return the time since its last message, or since it became a relay if that is later."""
        return now_s - max(self.last_message_s, self.relay_since_s)

"""One gateway: its row in the table of members, and when it last sent a message.

Owns the form of that row. Relies on the clock alone.
"""

from __future__ import annotations

import attrs
import msgspec

from limeshelf.membership.liveness import is_active
from limeshelf.util.clock import boottime_s

MEMBER_TABLE = 'members'
#: Stands for this process where the peer address of a gateway is meant.
LOCAL = ''


class MemberValue(msgspec.Struct):
    """A gateway's row in the table of members.

    :ivar weight: how much it can carry beside its calls; relays are the heaviest.
    """

    address: str
    data_centre: str = ''
    weight: float = 0.0


@attrs.define
class Member:
    """A gateway, by its peer address; times are on this machine's steady clock.

    :ivar weight: see :class:`MemberValue`; 0 until it is known.
    :ivar last_message_s: when a message of it last came; 0 if never, or if it stopped.
    :ivar last_retry_s: when it was last sent something while it was silent.
    :ivar relay_since_s: since when it has ranked as a relay; 0 while it does not. A
        gateway that moves up needs a moment until its first message is due.
    """

    address: str
    data_centre: str = ''
    weight: float = 0.0
    last_message_s: float = 0.0
    last_retry_s: float = 0.0
    relay_since_s: float = 0.0

    @property
    def is_active(self) -> bool:
        """Return whether a message of it came lately."""
        return is_active(boottime_s() - self.last_message_s)

    @property
    def rank_key(self) -> tuple[float, str]:
        """Return what sorts the gateways of a data centre, the highest rank first."""
        return (-self.weight, self.address)

    def since_message_s(self, now_s: float) -> float:
        """Return for how long a message of it has been due without any coming."""
        return now_s - max(self.last_message_s, self.relay_since_s)

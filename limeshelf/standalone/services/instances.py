"""Client of the list of live and leaving instances, which may be out of date.

Holds no state; :mod:`limeshelf.standalone.membership.listing` keeps the list last read.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.standalone.services.http import ServiceClient

if TYPE_CHECKING:
    from limeshelf.settings.model import PlatformSettings


class ListedKind(enum.StrEnum):
    """Kind of program on a listed instance."""

    ENTRY = 'entry'
    ENGINE = 'engine'
    PLAIN = 'plain'


class ListedState(enum.StrEnum):
    """The state of an instance in the list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Listed:
    """One entry of the instance list.

    :param address: ``ip:port`` of an upstream's HTTP listener.
    :param peer_addresses: of an entry instance: program name to ``ip:port``.
    :param service: of a plain service: its name.
    :param capacity_bytes: of an engine: its accelerator memory.
    :param checks_fence: whether the upstream refuses orders of a lower epoch or number.
    """

    instance_id: str
    kind: ListedKind
    data_centre: str
    state: ListedState = ListedState.LIVE
    address: str = ''
    peer_addresses: dict[str, str] = attrs.field(factory=dict)
    service: str = ''
    capacity_bytes: int = 0
    checks_fence: bool = True


class InstanceListClient:
    """Client of the instance list."""

    def __init__(self, client: ServiceClient) -> None:
        self._client = client

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> InstanceListClient:
        """Build the client for the address in *settings*."""
        return cls(ServiceClient.from_settings('instances', settings.instances_url, settings))

    async def list(self) -> list[Listed]:
        """Return every listed instance."""
        reply = await self._client.call('GET', '/instances')
        return msgspec.convert(reply.json(), list[Listed])

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

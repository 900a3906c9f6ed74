"""Client of the transactional table service: versioned rows and conditional writes.

Holds no state; the format of each row is defined by the module that writes it.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import attrs
import msgspec

from limeshelf.standalone.services.http import ServiceClient

if TYPE_CHECKING:
    from limeshelf.settings.model import PlatformSettings


@attrs.frozen
class VersionedRow:
    """One row as read.

    :param version: increases with each write; 0 if the row is absent.
    """

    key: str
    version: int
    value: dict[str, Any] | None


@attrs.frozen
class Condition:
    """The transaction commits only if the row still has this version."""

    key: str
    version: int


@attrs.frozen
class Write:
    """A row to write; a ``None`` value deletes it."""

    key: str
    value: dict[str, Any] | None


@dataclass(frozen=True)
class Committed:
    """All writes took effect."""

    versions: dict[str, int]


@dataclass(frozen=True)
class Conflicted:
    """No write took effect.

    :param rows: current state of the rows whose condition failed.
    """

    rows: list[VersionedRow]


TransactOutcome = Committed | Conflicted


class TableClient:
    """Client of the table service."""

    def __init__(self, client: ServiceClient) -> None:
        self._client = client

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> TableClient:
        """Build the client for the address in *settings*."""
        return cls(ServiceClient.from_settings('table', settings.table_url, settings))

    async def read(self, key: str) -> VersionedRow:
        """Return the row called *key*; an absent one has version 0."""
        reply = await self._client.call('GET', f'/rows/{quote(key, safe="")}')
        return msgspec.convert(reply.json(), VersionedRow)

    async def scan(self, prefix: str) -> list[VersionedRow]:
        """Return all rows whose key starts with *prefix*, sorted by key."""
        reply = await self._client.call('GET', f'/rows?prefix={quote(prefix, safe="")}')
        return msgspec.convert(reply.json(), list[VersionedRow])

    async def transact(self, conditions: list[Condition], writes: list[Write]) -> TransactOutcome:
        """Apply all of *writes* atomically if every condition holds, otherwise none.

        :raises PlatformUnavailable: nothing was written.
        :raises PlatformUnknown: the writes may or may not have taken effect.
        """
        body = {'conditions': conditions, 'writes': writes}
        reply = await self._client.call('POST', '/transact', body)
        if reply.status == HTTPStatus.CONFLICT:
            return Conflicted(msgspec.convert(reply.json()['rows'], list[VersionedRow]))
        return Committed(msgspec.convert(reply.json()['versions'], dict[str, int]))

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

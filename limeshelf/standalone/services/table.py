"""The transactional table service: rows with versions, conditional writes.

Owns no state; the rows belong to the modules that write them. Relies on
``services.http`` for the exchange.
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

    :param version: grows with each write; 0 stands for an absent row.
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
    """No write took effect; the rows whose condition failed, as they are."""

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
        """Write all of *writes* if every condition holds, else nothing.

        :raises PlatformUnknown: the commit may or may not have happened.
        """
        body = {'conditions': conditions, 'writes': writes}
        reply = await self._client.call('POST', '/transact', body)
        if reply.status == HTTPStatus.CONFLICT:
            return Conflicted(msgspec.convert(reply.json()['rows'], list[VersionedRow]))
        return Committed(msgspec.convert(reply.json()['versions'], dict[str, int]))

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

"""A table service inside the process, for experiments.

Owns the rows. Stands where the programs have the client of the table service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limeshelf.standalone.services.table import Committed, Conflicted, VersionedRow

if TYPE_CHECKING:
    from limeshelf.standalone.services.table import Condition, TransactOutcome, Write


class MemoryTable:
    """Rows with versions; answers at once and never fails."""

    def __init__(self) -> None:
        self._rows: dict[str, VersionedRow] = {}

    async def read(self, key: str) -> VersionedRow:
        """Return one row."""
        return self._rows.get(key, VersionedRow(key, 0, None))

    async def scan(self, prefix: str) -> list[VersionedRow]:
        """Return the rows whose key starts with a prefix."""
        return [row for key, row in sorted(self._rows.items()) if key.startswith(prefix)]

    async def transact(self, conditions: list[Condition], writes: list[Write]) -> TransactOutcome:
        """Write all rows if every condition holds."""
        current = [(await self.read(c.key), c.version) for c in conditions]
        failed = [row for row, version in current if row.version != version]
        if failed:
            return Conflicted(failed)
        versions: dict[str, int] = {}
        for write in writes:
            version = (await self.read(write.key)).version + 1
            value: dict[str, Any] | None = write.value
            self._rows[write.key] = VersionedRow(write.key, version, value)
            versions[write.key] = version
        return Committed(versions)

    async def close(self) -> None:
        """Do nothing."""

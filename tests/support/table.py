"""An in-memory table service with injectable faults."""

from __future__ import annotations

import enum
from collections import deque

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.standalone.services.table import Committed, Conflicted, VersionedRow


class TableFault(enum.Enum):
    NONE = 'none'
    DOWN = 'down'
    #: The request is lost.
    LOST_BEFORE = 'lost before'
    #: The request takes effect; the response is lost.
    LOST_AFTER = 'lost after'
    #: The request takes effect only when delivered later; there is no response.
    LATE = 'late'


class FakeTable:
    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.values: dict[str, dict] = {}
        self.next_faults: deque[TableFault] = deque()
        self.down = False
        self.late: list[tuple[list, list]] = []
        self.commits: list[list] = []

    def row(self, key: str) -> VersionedRow:
        if key not in self.values:
            return VersionedRow(key, 0, None)
        return VersionedRow(key, self.versions[key], self.values[key])

    def _next_fault(self) -> TableFault:
        if self.down:
            return TableFault.DOWN
        return self.next_faults.popleft() if self.next_faults else TableFault.NONE

    def _raise_fault(self, fault: TableFault) -> None:
        if fault is TableFault.DOWN:
            raise PlatformUnavailable('table')
        if fault is not TableFault.NONE:
            raise PlatformUnknown('table')

    async def read(self, key: str) -> VersionedRow:
        self._raise_fault(self._next_fault())
        return self.row(key)

    async def scan(self, prefix: str) -> list[VersionedRow]:
        self._raise_fault(self._next_fault())
        return [self.row(key) for key in sorted(self.values) if key.startswith(prefix)]

    async def transact(self, conditions, writes):
        fault = self._next_fault()
        if fault is TableFault.LATE:
            self.late.append((conditions, writes))
        if fault in (TableFault.NONE, TableFault.LOST_AFTER):
            outcome = self.commit(conditions, writes)
            self._raise_fault(fault)
            return outcome
        self._raise_fault(fault)
        raise AssertionError

    def commit(self, conditions, writes):
        failed = [self.row(c.key) for c in conditions if self.row(c.key).version != c.version]
        if failed:
            return Conflicted(failed)
        for write in writes:
            self.versions[write.key] = self.versions.get(write.key, 0) + 1
            if write.value is None:
                self.values.pop(write.key, None)
            else:
                self.values[write.key] = write.value
        self.commits.append(writes)
        return Committed({write.key: self.versions[write.key] for write in writes})

    def deliver_late(self) -> None:
        if self.late:
            self.commit(*self.late.pop(0))

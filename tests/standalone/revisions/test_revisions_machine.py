"""Configuration never reverts, with racing operators, lost answers and reordered pushes."""

from __future__ import annotations

import asyncio

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from limeshelf.errors import StaleRevision
from limeshelf.standalone.config.delta import Change, diff
from limeshelf.standalone.config.document import Deployment, Document
from limeshelf.standalone.config.holder import ConfigHolder
from limeshelf.standalone.revisions.store import Applied, NotApplied, RaceLost, RevisionStore
from tests.support.fuzzing import run_machine
from tests.support.table import FakeTable, TableFault

HOLDERS = st.integers(0, 2)
NAMES = st.sampled_from(['m0', 'm1', 'm2'])


class NoObjects:
    """An empty object store."""

    async def get(self, key: str) -> None:
        return None


class RevisionsMachine(RuleBasedStateMachine):
    """The commit order in the table is the oracle."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = FakeTable()
        self.store = RevisionStore(self.table, NoObjects())
        self.holders = [ConfigHolder() for _ in range(3)]
        self.seen = [0, 0, 0]
        self.operations = 0
        self.open: list[tuple] = []
        self.not_applied: set[str] = set()
        self.applied: dict[str, int] = {}

    def teardown(self) -> None:
        self.loop.close()

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @rule(number=HOLDERS, name=NAMES, size=st.integers(1, 9))
    def commit_change(self, number: int, name: str, size: int) -> None:
        """An operator commits a change based on the revision of one instance."""
        holder = self.holders[number]
        before = holder.catalog.document
        others = [d for d in before.deployments if d.name != name]
        after = attrs.evolve(before, deployments=[*others, Deployment(name, '1', size)])
        changes = diff(before, after)
        if not changes:
            return
        self.operations += 1
        self._commit((changes, holder.revision, f'op{self.operations}', 'who', ''))

    def _commit(self, arguments: tuple) -> None:
        outcome = self.run(self.store.commit(*arguments))
        operation_id = arguments[2]
        if isinstance(outcome, Applied):
            known = self.applied.setdefault(operation_id, outcome.revision)
            assert known == outcome.revision, 'one operation, two revisions'
            assert self._committed().get(operation_id) == outcome.revision
        elif isinstance(outcome, NotApplied | RaceLost):
            self.not_applied.add(operation_id)
            assert operation_id not in self._committed()
        else:
            self.open.append(arguments)

    @rule()
    def repeat_undecided(self) -> None:
        if self.open:
            self._commit(self.open.pop(0))

    def _committed(self) -> dict[str, int]:
        """Return the committed revision of each operation, by operation id."""
        found: dict[str, int] = {}
        for writes in self.table.commits:
            for write in writes:
                if write.key.startswith('config/revision/'):
                    assert write.value['operation_id'] not in found, 'applied twice'
                    found[write.value['operation_id']] = write.value['revision']
        return found

    @rule(number=HOLDERS)
    def fetch(self, number: int) -> None:
        holder = self.holders[number]
        head = self.table.row('config/head').value or {'revision': 0}
        for revision in range(holder.revision + 1, head['revision'] + 1):
            record = self.table.row(f'config/revision/{revision:010d}').value
            changes = [Change(**change) for change in record['changes']]
            holder.take_changes(revision - 1, revision, changes)

    @rule(
        source_number=HOLDERS,
        target_number=HOLDERS,
        based_on=st.integers(0, 5),
        whole=st.booleans(),
    )
    def push_to_peer(
        self, source_number: int, target_number: int, based_on: int, whole: bool
    ) -> None:
        """A push of one peer reaches another, which may be at any revision by then."""
        source, target = self.holders[source_number], self.holders[target_number]
        if whole:
            target.take_snapshot(source.revision, source.catalog.document)
            return
        steps = source.changes_after(based_on)
        for index, changes in enumerate(steps or []):
            try:
                target.take_changes(based_on + index, based_on + index + 1, changes)
            except StaleRevision:
                return

    @rule(fault=st.sampled_from(list(TableFault)))
    def inject_table_fault(self, fault: TableFault) -> None:
        self.table.next_faults.append(fault)

    @rule()
    def deliver_late_writes(self) -> None:
        self.table.deliver_late()

    @invariant()
    def never_reverts(self) -> None:
        for number, holder in enumerate(self.holders):
            assert holder.revision >= self.seen[number]
            self.seen[number] = holder.revision

    @invariant()
    def not_applied_stays_so(self) -> None:
        assert not self.not_applied & self._committed().keys()

    @invariant()
    def follows_the_commit_order(self) -> None:
        documents = self._documents()
        for holder in self.holders:
            assert by_name(holder.catalog.document) == documents[holder.revision]

    def _documents(self) -> list[dict]:
        documents: list[dict] = [{}]
        for writes in self.table.commits:
            for write in writes:
                if write.key.startswith('config/revision/'):
                    now = dict(documents[-1])
                    for change in write.value['changes']:
                        now[change['name']] = change['entity']['weights_bytes']
                    documents.append(now)
        return documents


def by_name(document: Document) -> dict[str, int]:
    return {d.name: d.weights_bytes for d in document.deployments}


def test_configuration_never_reverts() -> None:
    run_machine(RevisionsMachine, examples=250, steps=50)

"""Commits with lost answers, late writes and races."""

from __future__ import annotations

import asyncio

from limeshelf.standalone.config.delta import Change
from limeshelf.standalone.revisions.store import Applied, RaceLost, RevisionStore, Undecided
from tests.standalone.revisions.test_revisions_machine import NoObjects
from tests.support.table import FakeTable, TableFault

CHANGES = [Change('drained_upstreams', 'u1', {})]


def commit(store: RevisionStore, operation_id: str, based_on: int = 0):
    return asyncio.run(store.commit(CHANGES, based_on, operation_id, 'who', ''))


def test_late_write_is_not_reported_as_not_applied() -> None:
    """The write is still in transit when the table becomes unreachable."""
    table = FakeTable()
    store = RevisionStore(table, NoObjects())
    table.next_faults.extend([TableFault.NONE, TableFault.NONE, TableFault.LATE, TableFault.DOWN])
    outcome = commit(store, 'op1')
    table.deliver_late()
    assert isinstance(outcome, Undecided)
    assert commit(store, 'op1') == Applied(1)


def test_lost_answer_is_resolved_by_reading_back() -> None:
    table = FakeTable()
    store = RevisionStore(table, NoObjects())
    table.next_faults.extend([TableFault.NONE, TableFault.NONE, TableFault.LOST_AFTER])
    assert commit(store, 'op1') == Applied(1)


def test_lost_race_returns_the_revisions_of_others() -> None:
    store = RevisionStore(FakeTable(), NoObjects())
    assert commit(store, 'op1') == Applied(1)
    lost = commit(store, 'op2')
    assert isinstance(lost, RaceLost)
    assert [record.operation_id for record in lost.others] == ['op1']

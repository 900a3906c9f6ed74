"""Gateways that follow a store which may be restored from an older copy at any step.

A gateway must never replace a row by an older one, and must eventually receive all rows written
after a restore, whatever messages are lost, and however late answers and updates arrive.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from limeshelf.feeds.continuity import Continuity
from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.restore_rule import RestoreRule
from limeshelf.feeds.rows import HistoryGone, Page, Row
from limeshelf.feeds.table_copy import TableCopy

GATEWAYS = 3
KEYS = ('a', 'b')
#: Calls after which a gateway that reaches the store must have all its rows: one may find that the
#: history is gone, one reads the whole table, and one requests the changes since then.
CALLS_TO_CATCH_UP = 3


def writer_version(value: bytes) -> tuple[int, ...]:
    return (int(value),)


@attrs.define
class Store:
    """Two rows whose writers number their writes, and the copies to restore from."""

    position: Position = attrs.field(factory=lambda: Position(1, 0))
    rows: dict[str, Row] = attrs.field(factory=dict)
    copies: list[tuple[Position, dict[str, Row]]] = attrs.field(factory=list)

    def put(self, key: str, count: int) -> None:
        self.copies.append((self.position, dict(self.rows)))
        self.position = Position(self.position.era, self.position.version + 1)
        self.rows[key] = Row(key, b'%d' % count, self.position)

    def restore(self, age: int) -> None:
        if not self.copies:
            return
        index = max(0, len(self.copies) - 1 - age)
        position, rows = self.copies[index]
        era = self.position.era + 1
        self.rows = {
            key: attrs.evolve(row, position=Position(era, row.position.version))
            for key, row in rows.items()
        }
        self.position = Position(era, position.version)
        del self.copies[index:]

    def read(self) -> Page:
        return Page(tuple(self.rows.values()), self.position)

    def changes(self, after: Position) -> Page:
        if after.version > self.position.version:
            raise HistoryGone('t')
        rows = tuple(row for row in self.rows.values() if row.position.version > after.version)
        return Page(rows, self.position)


class Gateway:
    """A copy of the table, and the newest write of each row that it has applied."""

    def __init__(self) -> None:
        self.applied: dict[str, int] = {}
        rule = RestoreRule(writer_version)
        self.copy = TableCopy('t', self._apply_row, FollowRule(), rule)

    def _apply_row(self, row: Row) -> None:
        count = int(row.value)
        assert count >= self.applied.get(row.key, 0)
        self.applied[row.key] = count


class Restores(RuleBasedStateMachine):
    """Three gateways, any of which may call the store or query a peer at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store()
        self.gateways = [Gateway() for _ in range(GATEWAYS)]
        self.written = dict.fromkeys(KEYS, 0)
        self.in_transit: list[Any] = []

    @rule(key=st.sampled_from(KEYS))
    def write(self, key: str) -> None:
        self.written[key] += 1
        self.store.put(key, self.written[key])

    @rule(key=st.sampled_from(KEYS))
    def write_again(self, key: str) -> None:
        if self.written[key]:
            self.store.put(key, self.written[key])

    @rule(age=st.integers(0, 6))
    def restore_store(self, age: int) -> None:
        self.store.restore(age)

    @rule(number=st.integers(0, GATEWAYS - 1))
    def call_store(self, number: int) -> None:
        self.in_transit.append(self._store_answer(number))

    @rule(sender=st.integers(0, GATEWAYS - 1), receiver=st.integers(0, GATEWAYS - 1))
    def query_peer(self, sender: int, receiver: int) -> None:
        copy = self.gateways[sender].copy
        self._send(sender, receiver, min(copy.position, self.gateways[receiver].copy.position))

    @rule(sender=st.integers(0, GATEWAYS - 1), receiver=st.integers(0, GATEWAYS - 1))
    def query_peer_for_all_rows(self, sender: int, receiver: int) -> None:
        self._send(sender, receiver, BEGINNING)

    @rule(index=st.integers(0, 8))
    def deliver(self, index: int) -> None:
        if self.in_transit:
            self.in_transit.pop(index % len(self.in_transit))()

    @rule(number=st.integers(0, GATEWAYS - 1))
    def restart(self, number: int) -> None:
        """Replace the gateway by a new one without rows; messages to the old one are lost."""
        self.gateways[number] = Gateway()

    @rule(number=st.integers(0, GATEWAYS - 1))
    def catch_up(self, number: int) -> None:
        """Let a gateway call the store; then it has all rows of the store, or newer ones."""
        for _ in range(CALLS_TO_CATCH_UP):
            self._store_answer(number)()
        gateway = self.gateways[number]
        for key, row in self.store.rows.items():
            assert gateway.applied[key] >= int(row.value)
        assert gateway.copy.position == self.store.position

    @rule()
    def rewrite_all_rows(self) -> None:
        """Write all rows again; then one gateway polls, and all have the newest rows."""
        for key in KEYS:
            if self.written[key]:
                self.store.put(key, self.written[key])
        self.catch_up(0)
        for receiver in range(1, GATEWAYS):
            after = self.gateways[receiver].copy.position
            self._send(0, receiver, min(after, self.gateways[0].copy.position))
            self.in_transit.pop()()
        newest = {key: count for key, count in self.written.items() if count}
        assert all(gateway.applied == newest for gateway in self.gateways)

    @invariant()
    def no_gateway_has_unwritten_rows(self) -> None:
        for gateway in self.gateways:
            assert all(count <= self.written[key] for key, count in gateway.applied.items())

    def _store_answer(self, number: int) -> Any:
        copy = self.gateways[number].copy
        if copy.needs_full_read:
            page = self.store.read()
            return lambda: copy.apply_full_read(page)
        try:
            page = self.store.changes(copy.position)
        except HistoryGone:

            def handle_history_gone() -> None:
                copy.needs_full_read = True

            return handle_history_gone
        return lambda: copy.apply_changes(page)

    def _send(self, sender: int, receiver: int, after: Position) -> None:
        copy = self.gateways[sender].copy
        covered = copy.update_range(after)
        rows = copy.rows_after(covered.after)
        receiving_copy = self.gateways[receiver].copy

        def apply() -> None:
            if receiving_copy.apply_update(rows, covered, 0.0) is Continuity.CONTINUES:
                assert receiving_copy.position == covered.upto

        self.in_transit.append(apply)


def test_rows_never_regress_and_all_writes_arrive() -> None:
    run_state_machine_as_test(
        Restores,
        settings=settings(
            max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
        ),
    )

"""A store that may come back from an older copy at any step, and gateways that follow it.

What a gateway knows never goes back, and what is written after a return is known at last, whatever
was lost, and whatever answers and messages of peers come late.
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
from limeshelf.feeds.return_rule import ReturnRule
from limeshelf.feeds.rows import HistoryGone, Page, Row
from limeshelf.feeds.table_copy import TableCopy

GATEWAYS = 3
KEYS = ('a', 'b')
#: Questions in which a gateway that reaches the store is to know all that it has: one may find
#: that history is gone, one reads the table whole, one is for changes since.
QUESTIONS = 3


def newness(value: bytes) -> tuple[int, ...]:
    return (int(value),)


@attrs.define
class Store:
    """Two rows whose writers count their writings, and the copies to come back from."""

    position: Position = attrs.field(factory=lambda: Position(1, 0))
    rows: dict[str, Row] = attrs.field(factory=dict)
    copies: list[tuple[Position, dict[str, Row]]] = attrs.field(factory=list)

    def put(self, key: str, count: int) -> None:
        self.copies.append((self.position, dict(self.rows)))
        self.position = Position(self.position.era, self.position.version + 1)
        self.rows[key] = Row(key, b'%d' % count, self.position)

    def come_back(self, age: int) -> None:
        if not self.copies:
            return
        place = max(0, len(self.copies) - 1 - age)
        position, rows = self.copies[place]
        era = self.position.era + 1
        self.rows = {
            key: attrs.evolve(row, position=Position(era, row.position.version))
            for key, row in rows.items()
        }
        self.position = Position(era, position.version)
        del self.copies[place:]

    def read(self) -> Page:
        return Page(tuple(self.rows.values()), self.position)

    def changes(self, after: Position) -> Page:
        if after.version > self.position.version:
            raise HistoryGone('t')
        rows = tuple(row for row in self.rows.values() if row.position.version > after.version)
        return Page(rows, self.position)


class Gateway:
    """A copy of the table, and what is in force by its rows."""

    def __init__(self) -> None:
        self.in_force: dict[str, int] = {}
        rule = ReturnRule(newness)
        self.copy = TableCopy('t', self._take, FollowRule(), rule)

    def _take(self, row: Row) -> None:
        count = int(row.value)
        assert count >= self.in_force.get(row.key, 0)
        self.in_force[row.key] = count


class Returns(RuleBasedStateMachine):
    """Three gateways, of which any may ask the store or a peer at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store()
        self.gateways = [Gateway() for _ in range(GATEWAYS)]
        self.written = dict.fromkeys(KEYS, 0)
        self.on_the_way: list[Any] = []

    @rule(key=st.sampled_from(KEYS))
    def write(self, key: str) -> None:
        self.written[key] += 1
        self.store.put(key, self.written[key])

    @rule(key=st.sampled_from(KEYS))
    def write_again(self, key: str) -> None:
        if self.written[key]:
            self.store.put(key, self.written[key])

    @rule(age=st.integers(0, 6))
    def come_back(self, age: int) -> None:
        self.store.come_back(age)

    @rule(number=st.integers(0, GATEWAYS - 1))
    def ask_store(self, number: int) -> None:
        self.on_the_way.append(self._answer_to(number))

    @rule(sender=st.integers(0, GATEWAYS - 1), receiver=st.integers(0, GATEWAYS - 1))
    def ask_peer(self, sender: int, receiver: int) -> None:
        copy = self.gateways[sender].copy
        self._send(sender, receiver, min(copy.position, self.gateways[receiver].copy.position))

    @rule(sender=st.integers(0, GATEWAYS - 1), receiver=st.integers(0, GATEWAYS - 1))
    def ask_peer_for_all(self, sender: int, receiver: int) -> None:
        self._send(sender, receiver, BEGINNING)

    @rule(place=st.integers(0, 8))
    def arrive(self, place: int) -> None:
        if self.on_the_way:
            self.on_the_way.pop(place % len(self.on_the_way))()

    @rule(number=st.integers(0, GATEWAYS - 1))
    def start_again(self, number: int) -> None:
        """The process ends; a new one knows nothing, and messages to the old one are lost."""
        self.gateways[number] = Gateway()

    @rule(number=st.integers(0, GATEWAYS - 1))
    def catch_up(self, number: int) -> None:
        """Who reaches the store knows all that it has, and nothing older."""
        for _ in range(QUESTIONS):
            self._answer_to(number)()
        gateway = self.gateways[number]
        for key, row in self.store.rows.items():
            assert gateway.in_force[key] >= int(row.value)
        assert gateway.copy.position == self.store.position

    @rule()
    def all_is_written_again(self) -> None:
        """Then all know the newest of all, by one that asks the store and tells the others."""
        for key in KEYS:
            if self.written[key]:
                self.store.put(key, self.written[key])
        self.catch_up(0)
        for receiver in range(1, GATEWAYS):
            after = self.gateways[receiver].copy.position
            self._send(0, receiver, min(after, self.gateways[0].copy.position))
            self.on_the_way.pop()()
        newest = {key: count for key, count in self.written.items() if count}
        assert all(gateway.in_force == newest for gateway in self.gateways)

    @invariant()
    def nobody_knows_what_was_never_written(self) -> None:
        for gateway in self.gateways:
            assert all(count <= self.written[key] for key, count in gateway.in_force.items())

    def _answer_to(self, number: int) -> Any:
        copy = self.gateways[number].copy
        if copy.needs_full_read:
            page = self.store.read()
            return lambda: copy.take_full(page)
        try:
            page = self.store.changes(copy.position)
        except HistoryGone:

            def take_gone() -> None:
                copy.needs_full_read = True

            return take_gone
        return lambda: copy.take_changes(page)

    def _send(self, sender: int, receiver: int, after: Position) -> None:
        copy = self.gateways[sender].copy
        rows, upto = copy.rows_after(after), copy.position
        receiving = self.gateways[receiver].copy

        def take() -> None:
            if receiving.take_update(rows, after, upto, 0.0) is Continuity.CONTINUES:
                assert receiving.position == upto

        self.on_the_way.append(take)


def test_nothing_known_goes_back_and_all_that_is_written_is_known() -> None:
    run_state_machine_as_test(
        Returns,
        settings=settings(
            max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
        ),
    )

"""Gateways that go by the updates of others know as much as the store, soon enough."""

from __future__ import annotations

import asyncio
from typing import Any

from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.relays import RELAY_TIMEOUT_S
from limeshelf.membership.row_exchange import CLOCK_TOLERANCE_S, RowExchange
from limeshelf.membership.row_messages import RowsQuery, TableRow, TableUpdate, TableUpdates
from limeshelf.membership.store_polling import OVERDUE_STEP_S
from limeshelf.peers.codec import Envelope
from limeshelf.util.clock import boottime_s, virtual_clock
from tests.support.positions import at


class Node:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []

    def send(self, address: str, message: Any) -> None:
        self.sent.append((address, message))

    def send_all(self, addresses: list[str], message: Any) -> None:
        for address in addresses:
            self.send(address, message)

    def add_handler(self, kind: type[Any], handler: Any) -> None: ...


class Store:
    """A table that counts its calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.rows = {'a': Row('a', b'1', at(5), False)}

    async def read(self, table: str) -> Page:
        self.calls += 1
        return Page(tuple(self.rows.values()), at(7), 0, boottime_s())

    async def changes(self, table: str, after: Position, wait_s: float) -> Page:
        self.calls += 1
        await asyncio.sleep(wait_s)
        return Page((), max(after, at(7)), 0, boottime_s())


class WhenStale:
    """Asks the store while a copy is stale."""

    def __init__(self, copy: TableCopy) -> None:
        self.copy = copy

    def is_due(self) -> bool:
        return self.copy.is_stale

    async def until_due(self) -> None:
        await asyncio.sleep(0.02)

    def spread_s(self) -> float:
        return 0.0


def exchange(own: str, *others: str) -> RowExchange:
    node: Any = Node()
    members = Members(Member(own, 'c1', 1.0))
    for other in others:
        members.add(other, 'c1', 1.0)
    made = RowExchange(node, members)
    made.copies['t'] = TableCopy('t', lambda row: None)
    return made


def update(after: int, upto: int, *rows: TableRow) -> Envelope:
    return Envelope('g1', 'c1', TableUpdates([TableUpdate('t', after, upto, 0, list(rows))]))


def test_updates_bring_rows_up_to_a_version() -> None:
    one = exchange('g2', 'g1')
    one._handle_updates(update(0, 9, TableRow('a', b'1', 9, False)))
    copy = one.copies['t']
    assert (copy.position, [row.key for row in copy.rows()]) == (at(9), ['a'])
    assert copy.age_s < 1.0


def test_lost_update_is_asked_for() -> None:
    """A later row must not hide that an earlier one is missing."""
    one = exchange('g2', 'g1')
    one._handle_updates(update(0, 5, TableRow('a', b'1', 5, False)))
    one._handle_updates(update(8, 9, TableRow('c', b'1', 9, False)))
    assert one.copies['t'].position == at(5)
    node: Any = one.node
    assert [(address, query.versions) for address, query in node.sent] == [('g1', {'t': 5})]
    one._handle_updates(update(5, 9, TableRow('b', b'1', 7, False), TableRow('c', b'1', 9, False)))
    assert one.copies['t'].position == at(9)
    assert len(one.copies['t'].rows()) == 3


def test_update_of_somebody_who_is_behind_confirms_nothing() -> None:
    one = exchange('g2', 'g1')
    one._handle_updates(update(0, 9))
    copy = one.copies['t']
    copy.confirmed_s = 0.0
    one._handle_updates(update(3, 6, TableRow('a', b'old', 4, False)))
    assert copy.position == at(9)
    assert copy.is_stale


def test_answer_holds_what_the_asker_lacks() -> None:
    one = exchange('g1', 'g2')
    one._handle_updates(update(0, 9, TableRow('a', b'1', 3, False), TableRow('b', b'', 8, True)))
    one._handle_query(Envelope('g2', 'c1', RowsQuery({'t': 5})))
    node: Any = one.node
    address, answer = node.sent[-1]
    assert address == 'g2'
    sent = answer.words[0]
    assert (sent.after, sent.upto, [row.key for row in sent.rows]) == (5, 9, ['b'])


def test_first_relay_follows_and_the_others_wait_in_turn() -> None:
    with virtual_clock() as clock:
        first, second, third = (
            exchange(own, *(one for one in ('g1', 'g2', 'g3') if one != own))
            for own in ('g1', 'g2', 'g3')
        )
        for one in (first, second, third):
            one._handle_updates(update(0, 9))
        assert [one.is_due() for one in (first, second, third)] == [True, False, False]
        clock.advance(FollowRule().stale_s + 1.5 * OVERDUE_STEP_S)
        for one in (first, second, third):
            one.members.note_message('g1', 'c1')
            one.members.note_message('g2', 'c1')
        assert [one.is_due() for one in (first, second, third)] == [True, True, False]


def test_gateway_that_took_over_goes_on_until_others_pass_rows_on() -> None:
    with virtual_clock() as clock:
        one = exchange('g2', 'g1')
        one._handle_updates(update(0, 9))
        copy = one.copies['t']
        clock.advance(copy.rule.stale_s + 1.0)
        one.members.note_message('g1', 'c1')
        copy.note_confirmed(clock.now_s)
        assert one.is_due()
        one._handle_updates(update(9, 9))
        assert not one.is_due()


def test_rows_of_another_centre_are_passed_on_by_the_first_relay() -> None:
    first, second = exchange('g1', 'g2', 'g3'), exchange('g2', 'g1', 'g3')
    rows = update(0, 9, TableRow('a', b'1', 9, False))
    for one in (first, second):
        one._handle_updates(Envelope('h1', 'c2', rows.message))
    node: Any = first.node
    assert [address for address, _ in node.sent] == ['g2', 'g3']
    passed = node.sent[0][1].words[0]
    assert (passed.after, passed.upto, [row.key for row in passed.rows]) == (0, 9, ['a'])
    other_node: Any = second.node
    assert other_node.sent == []


def test_one_overdue_table_makes_all_due() -> None:
    """A gateway that lost the store passes on no changes of any table."""
    with virtual_clock() as clock:
        one = exchange('g2', 'g1')
        one.copies['u'] = TableCopy('u', lambda row: None)
        clock.advance(FollowRule().stale_s + 1.0)
        one.members.note_message('g1', 'c1')
        one._handle_updates(update(0, 9))
        assert one.is_due()
        one.copies['u'].take_update([], at(0), at(9), 0.0)
        assert not one.is_due()


def test_gateways_that_start_together_give_the_first_time_to_pass_rows_on() -> None:
    """Before, each followed the store until it heard of another one."""
    with virtual_clock() as clock:
        first, second = exchange('g1', 'g2'), exchange('g2', 'g1')
        assert [one.is_due() for one in (first, second)] == [True, False]
        clock.advance(FollowRule().stale_s + 1.0)
        assert second.is_due()


def test_follower_asks_the_store_only_while_updates_fail() -> None:
    async def play() -> None:
        store: Any = Store()
        rule = FollowRule(wait_s=0.01, stale_s=0.3)
        copy = TableCopy('t', lambda row: None, rule)
        task = asyncio.create_task(TableFollower(copy, store, WhenStale(copy)).run())
        await asyncio.sleep(0.05)
        assert store.calls == 1
        for _ in range(8):
            copy.take_update([], at(7), at(7), 0.0)
            await asyncio.sleep(0.05)
        assert store.calls == 1
        await asyncio.sleep(0.6)
        assert store.calls >= 2
        task.cancel()

    asyncio.run(play())


def test_gateway_that_never_reached_the_store_learns_its_clock_from_an_answer() -> None:
    with virtual_clock() as clock:
        one, other = exchange('g1', 'g2'), exchange('g2', 'g1')
        # The store's clock shows 5 s while the one of this machine shows 1,000 s.
        other.clock.note_answer(clock.now_s, 5.0)
        other.copies['t'].take_update([], at(0), at(9), 0.0, 5000)
        node: Any = one.node
        one._query_random_peer()
        clock.advance(0.4)
        other._handle_query(Envelope('g1', 'c1', node.sent[-1][1]))
        clock.advance(0.7)
        other_node: Any = other.node
        one._handle_updates(Envelope('g2', 'c1', other_node.sent[-1][1]))
        # Older than it is by the way of the query; never younger by that of the answer.
        age_s = one.clock.greatest_age_s(one.copies['t'].confirmed_ms)
        assert 1.1 <= age_s <= 1.5 + 0.01


def test_update_that_waited_makes_nothing_younger() -> None:
    """A message that lay in the buffer of a process that stood still: before, its age at
    the send counted from the moment at which it was read."""
    with virtual_clock() as clock:
        one = exchange('g2', 'g1')
        one.clock.note_answer(clock.now_s, 5.0)
        waiting = TableUpdate('t', 0, 9, 0, [], 5000)
        clock.advance(6.0)
        one._handle_updates(Envelope('g1', 'c1', TableUpdates([waiting])))
        assert one.clock.greatest_age_s(one.copies['t'].confirmed_ms) >= 6.0


def test_gateway_that_hears_nobody_waits_for_nobody() -> None:
    """It asks the store as soon as its copies are old, whatever its place in the order."""
    others = [f'g{number:02}' for number in range(20)]
    with virtual_clock() as clock:
        one = exchange('g99', *others)
        for other in others:
            one.members.note_message(other, 'c1')
        one._handle_updates(update(0, 9))
        clock.advance(FollowRule().stale_s + 0.01)
        one.members.note_message('g00', 'c1')
        assert not one.is_due()
        clock.advance(RELAY_TIMEOUT_S + 0.01)
        assert one.is_due()
        assert one.spread_s() == 0.0


def test_update_that_waited_confirms_what_was_then() -> None:
    """Before, a copy counted as new whose update had waited in a queue for two seconds."""
    with virtual_clock() as clock:
        one = exchange('g2', 'g1')
        one.clock.note_answer(clock.now_s, 5.0)
        waiting = TableUpdate('t', 0, 9, 0, [], 5000)
        clock.advance(2.0)
        one._handle_updates(Envelope('g1', 'c1', TableUpdates([waiting])))
        copy = one.copies['t']
        assert copy.position == at(9)
        assert 2.0 - CLOCK_TOLERANCE_S <= copy.age_s <= 2.0
        assert copy.is_stale


def test_update_in_time_is_as_old_as_its_sender_says() -> None:
    with virtual_clock() as clock:
        one = exchange('g2', 'g1')
        # This gateway knows the store's clock no better than by 0.2 s.
        one.clock.note_answer(clock.now_s - 0.2, 5.0)
        one._handle_updates(
            Envelope('g1', 'c1', TableUpdates([TableUpdate('t', 0, 9, 100, [], 4900)]))
        )
        assert abs(one.copies['t'].age_s - 0.1) < 0.001

"""Gateways rely on updates from peers, and poll the store if these updates are late."""

from __future__ import annotations

import asyncio
from typing import Any

from limeshelf.feeds.change_budget import CONFIRMATION_TOLERANCE_S, ChangeBudget
from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.relays import RELAY_TIMEOUT_S
from limeshelf.membership.row_exchange import RowExchange
from limeshelf.membership.row_messages import RowsQuery, TableRow, TableUpdate, TableUpdates
from limeshelf.membership.store_polling import OVERDUE_STEP_S, PollingDelays
from limeshelf.peers.codec import Envelope
from limeshelf.util.clock import boottime_s, virtual_clock
from tests.support.positions import make_position, make_range

DELAYS = PollingDelays(turn_limit_s=0.3, retry_spread_s=1.5)
#: Time within which a change must reach every gateway, in seconds.
CHANGE_LIMIT_S = 2.0
#: Share of it that is for the call to the store and for messages to others.
DELIVERY_SHARE = 0.2


class Node:
    """Records the messages sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []

    def send(self, address: str, message: Any) -> None:
        self.sent.append((address, message))

    def send_all(self, addresses: list[str], message: Any) -> None:
        for address in addresses:
            self.send(address, message)

    def add_handler(self, kind: type[Any], handler: Any) -> None: ...


class Store:
    """A store with a single table that counts the calls to it."""

    def __init__(self) -> None:
        self.calls = 0
        self.rows = {'a': Row('a', b'1', make_position(5), False)}

    async def read(self, table: str) -> Page:
        self.calls += 1
        return Page(tuple(self.rows.values()), make_position(7), 0, boottime_s())

    async def changes(self, table: str, after: Position, wait_s: float) -> Page:
        self.calls += 1
        await asyncio.sleep(wait_s)
        return Page((), max(after, make_position(7)), 0, boottime_s())


class WhenStale:
    """A polling rule: the store is polled while the copy is stale."""

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
    row_exchange = RowExchange(node, members, DELAYS)
    row_exchange.copies['t'] = TableCopy('t', lambda row: None)
    return row_exchange


def update(after: int, upto: int, *rows: TableRow) -> Envelope:
    sent = TableUpdate('t', after, upto, 0, list(rows), seen_from=after, seen_from_era=0)
    return Envelope('g1', 'c1', TableUpdates([sent]))


def update_of_earlier_release(
    after: int, upto: int, *rows: TableRow, asked_ms: int = 0
) -> Envelope:
    """Return an update of a release that does not state from where on it knows all deletions.

    :param asked_ms: greater than 0 for an answer to a query.
    """
    sent = TableUpdate('t', after, upto, 0, list(rows))
    return Envelope('g1', 'c1', TableUpdates([sent], asked_ms))


def test_update_sets_rows_and_position() -> None:
    gateway = exchange('g2', 'g1')
    gateway._handle_updates(update(0, 9, TableRow('a', b'1', 9, False)))
    copy = gateway.copies['t']
    assert (copy.position, [row.key for row in copy.rows()]) == (make_position(9), ['a'])
    assert copy.age_s < 1.0


def test_lost_update_is_asked_for() -> None:
    """The position must not advance past missing rows when a later row arrives."""
    gateway = exchange('g2', 'g1')
    gateway._handle_updates(update(0, 5, TableRow('a', b'1', 5, False)))
    gateway._handle_updates(update(8, 9, TableRow('c', b'1', 9, False)))
    assert gateway.copies['t'].position == make_position(5)
    node: Any = gateway.node
    assert [(address, query.versions) for address, query in node.sent] == [('g1', {'t': 5})]
    gateway._handle_updates(
        update(5, 9, TableRow('b', b'1', 7, False), TableRow('c', b'1', 9, False))
    )
    assert gateway.copies['t'].position == make_position(9)
    assert len(gateway.copies['t'].rows()) == 3


def test_update_from_a_peer_that_is_behind_confirms_nothing() -> None:
    gateway = exchange('g2', 'g1')
    gateway._handle_updates(update(0, 9))
    copy = gateway.copies['t']
    copy.confirmed_s = 0.0
    gateway._handle_updates(update(3, 6, TableRow('a', b'old', 4, False)))
    assert copy.position == make_position(9)
    assert copy.is_stale


def test_answer_contains_only_rows_after_the_queried_version() -> None:
    gateway = exchange('g1', 'g2')
    gateway._handle_updates(
        update(0, 9, TableRow('a', b'1', 3, False), TableRow('b', b'', 8, True))
    )
    gateway._handle_query(Envelope('g2', 'c1', RowsQuery({'t': 5})))
    node: Any = gateway.node
    address, answer = node.sent[-1]
    assert address == 'g2'
    sent = answer.words[0]
    assert (sent.after, sent.upto, [row.key for row in sent.rows]) == (5, 9, ['b'])


def test_first_relay_polls_and_the_others_follow_in_polling_order() -> None:
    with virtual_clock() as clock:
        first, second, third = (
            exchange(own, *(name for name in ('g1', 'g2', 'g3') if name != own))
            for own in ('g1', 'g2', 'g3')
        )
        for gateway in (first, second, third):
            gateway._handle_updates(update(0, 9))
        assert [gateway.is_due() for gateway in (first, second, third)] == [True, False, False]
        clock.advance(FollowRule().stale_after_s + 1.5 * OVERDUE_STEP_S)
        for gateway in (first, second, third):
            gateway.members.record_message('g1', 'c1')
            gateway.members.record_message('g2', 'c1')
        assert [gateway.is_due() for gateway in (first, second, third)] == [True, True, False]


def test_last_gateway_that_hears_others_polls_the_store_before_a_change_is_late() -> None:
    budget = ChangeBudget(CHANGE_LIMIT_S)
    others = [f'g{number:02}' for number in range(60)]
    with virtual_clock() as clock:
        gateway = exchange('z', *others)
        gateway.delays = PollingDelays.from_budget(budget)
        gateway.copies['t'].follow_rule = budget.config_rule()
        gateway._handle_updates(update(0, 9))
        clock.advance((1.0 - DELIVERY_SHARE) * CHANGE_LIMIT_S)
        for other in others:
            gateway.members.record_message(other, 'c1')
        assert gateway.is_due()


def test_gateway_that_took_over_polls_until_peers_send_updates() -> None:
    with virtual_clock() as clock:
        gateway = exchange('g2', 'g1')
        gateway._handle_updates(update(0, 9))
        copy = gateway.copies['t']
        clock.advance(copy.follow_rule.stale_after_s + 1.0)
        gateway.members.record_message('g1', 'c1')
        copy.record_confirmation(clock.now_s)
        assert gateway.is_due()
        gateway._handle_updates(update(9, 9))
        assert not gateway.is_due()


def test_rows_from_another_centre_are_forwarded_by_the_first_relay() -> None:
    first, second = exchange('g1', 'g2', 'g3'), exchange('g2', 'g1', 'g3')
    rows = update(0, 9, TableRow('a', b'1', 9, False))
    for gateway in (first, second):
        gateway._handle_updates(Envelope('h1', 'c2', rows.message))
    node: Any = first.node
    assert [address for address, _ in node.sent] == ['g2', 'g3']
    forwarded = node.sent[0][1].words[0]
    assert (forwarded.after, forwarded.upto, [row.key for row in forwarded.rows]) == (0, 9, ['a'])
    other_node: Any = second.node
    assert other_node.sent == []


def test_one_overdue_table_makes_all_due() -> None:
    """A peer that lost the store sends no changes of any table."""
    with virtual_clock() as clock:
        gateway = exchange('g2', 'g1')
        gateway.copies['u'] = TableCopy('u', lambda row: None)
        clock.advance(FollowRule().stale_after_s + 1.0)
        gateway.members.record_message('g1', 'c1')
        gateway._handle_updates(update(0, 9))
        assert gateway.is_due()
        gateway.copies['u'].apply_update([], make_range(0, 9), 0.0)
        assert not gateway.is_due()


def test_gateways_that_start_together_wait_for_updates_from_the_first() -> None:
    """Gateways that start together must not each poll the store until they know another."""
    with virtual_clock() as clock:
        first, second = exchange('g1', 'g2'), exchange('g2', 'g1')
        assert [gateway.is_due() for gateway in (first, second)] == [True, False]
        clock.advance(FollowRule().stale_after_s + 1.0)
        assert second.is_due()


def test_follower_polls_the_store_only_while_updates_are_missing() -> None:
    async def run_scenario() -> None:
        store: Any = Store()
        rule = FollowRule(wait_s=0.01, stale_after_s=0.3)
        copy = TableCopy('t', lambda row: None, rule)
        task = asyncio.create_task(TableFollower(copy, store, WhenStale(copy)).run())
        await asyncio.sleep(0.05)
        assert store.calls == 1
        for _ in range(8):
            copy.apply_update([], make_range(7, 7), 0.0)
            await asyncio.sleep(0.05)
        assert store.calls == 1
        await asyncio.sleep(0.6)
        assert store.calls >= 2
        task.cancel()

    asyncio.run(run_scenario())


def test_gateway_that_never_reached_the_store_estimates_its_clock_from_an_answer() -> None:
    with virtual_clock() as clock:
        gateway, other = exchange('g1', 'g2'), exchange('g2', 'g1')
        # The store's clock shows 5 s while this machine's clock shows 1,000 s.
        other.clock.record_answer(clock.now_s, 5.0)
        other.copies['t'].apply_update([], make_range(0, 9), 0.0, 5000)
        node: Any = gateway.node
        gateway._query_random_peer()
        clock.advance(0.4)
        other._handle_query(Envelope('g1', 'c1', node.sent[-1][1]))
        clock.advance(0.7)
        other_node: Any = other.node
        gateway._handle_updates(Envelope('g2', 'c1', other_node.sent[-1][1]))
        # The age may be too high by the delay of the query, but never too low by that of the
        # answer.
        age_s = gateway.clock.age_upper_bound_s(gateway.copies['t'].confirmed_ms)
        assert 1.1 <= age_s <= 1.5 + 0.01


def test_delayed_update_does_not_lower_the_age_of_a_copy() -> None:
    """A message can wait in the receive buffer of a suspended process.

    Its age must include that time, not only the age stated when it was sent.
    """
    with virtual_clock() as clock:
        gateway = exchange('g2', 'g1')
        gateway.clock.record_answer(clock.now_s, 5.0)
        delayed = TableUpdate('t', 0, 9, 0, [], 5000)
        clock.advance(6.0)
        gateway._handle_updates(Envelope('g1', 'c1', TableUpdates([delayed])))
        assert gateway.clock.age_upper_bound_s(gateway.copies['t'].confirmed_ms) >= 6.0


def test_isolated_gateway_polls_as_soon_as_copies_are_stale() -> None:
    """Its position in the polling order does not matter."""
    others = [f'g{number:02}' for number in range(20)]
    with virtual_clock() as clock:
        gateway = exchange('g99', *others)
        for other in others:
            gateway.members.record_message(other, 'c1')
        gateway._handle_updates(update(0, 9))
        clock.advance(FollowRule().stale_after_s + 0.01)
        gateway.members.record_message('g00', 'c1')
        assert not gateway.is_due()
        clock.advance(RELAY_TIMEOUT_S + 0.01)
        assert gateway.is_due()
        assert gateway.spread_s() == 0.0


def test_delayed_update_confirms_the_copy_as_of_its_sending() -> None:
    """A copy must not be fresh if its update waited in a queue for two seconds."""
    with virtual_clock() as clock:
        gateway = exchange('g2', 'g1')
        gateway.clock.record_answer(clock.now_s, 5.0)
        delayed = TableUpdate('t', 0, 9, 0, [], 5000)
        clock.advance(2.0)
        gateway._handle_updates(Envelope('g1', 'c1', TableUpdates([delayed])))
        copy = gateway.copies['t']
        assert copy.position == make_position(9)
        assert 2.0 - CONFIRMATION_TOLERANCE_S <= copy.age_s <= 2.0
        assert copy.is_stale


def test_update_without_delay_has_the_age_stated_by_its_sender() -> None:
    with virtual_clock() as clock:
        gateway = exchange('g2', 'g1')
        # This gateway knows the store's clock to an accuracy of 0.2 s.
        gateway.clock.record_answer(clock.now_s - 0.2, 5.0)
        gateway._handle_updates(
            Envelope('g1', 'c1', TableUpdates([TableUpdate('t', 0, 9, 100, [], 4900)]))
        )
        assert abs(gateway.copies['t'].age_s - 0.1) < 0.001


def test_gateway_that_has_just_started_answers_an_earlier_position_with_all_rows() -> None:
    gateway = exchange('g1', 'g2')
    gateway.copies['t'].apply_full_read(
        Page((Row('a', b'1', make_position(3)),), make_position(9))
    )
    gateway._handle_query(Envelope('g2', 'c1', RowsQuery({'t': 5})))
    node: Any = gateway.node
    sent = node.sent[-1][1].words[0]
    assert (sent.after, sent.upto, [row.key for row in sent.rows]) == (0, 9, ['a'])


def test_deletions_known_to_a_peer_are_known_to_a_gateway_that_asks_it_at_its_start() -> None:
    gateway = exchange('g2', 'g1', 'g3')
    gateway._handle_updates(
        update(0, 9, TableRow('a', b'1', 3, False), TableRow('b', b'1', 8, True))
    )
    gateway._handle_query(Envelope('g3', 'c1', RowsQuery({'t': 5})))
    node: Any = gateway.node
    sent = node.sent[-1][1].words[0]
    assert (sent.after, sent.upto, [row.key for row in sent.rows]) == (5, 9, ['b'])


def test_all_rows_of_a_peer_show_which_were_deleted() -> None:
    gateway = exchange('g2', 'g1')
    gateway._handle_updates(
        update(0, 5, TableRow('a', b'1', 3, False), TableRow('b', b'1', 4, False))
    )
    gateway._handle_updates(update_of_earlier_release(0, 9, TableRow('a', b'1', 3, False)))
    copy = gateway.copies['t']
    assert (copy.position, [row.key for row in copy.rows()]) == (make_position(9), ['a'])


def test_answer_of_an_earlier_release_for_a_position_is_not_taken_for_complete() -> None:
    gateway = exchange('g2', 'g1')
    gateway._handle_updates(
        update(0, 5, TableRow('a', b'1', 3, False), TableRow('b', b'1', 4, False))
    )
    gateway._handle_updates(update_of_earlier_release(5, 9, asked_ms=1))
    assert gateway.copies['t'].position == make_position(5)
    node: Any = gateway.node
    assert [(address, query.versions) for address, query in node.sent] == [('g1', {'t': 0})]
    gateway._handle_updates(
        update_of_earlier_release(0, 9, TableRow('a', b'1', 3, False), asked_ms=1)
    )
    assert [row.key for row in gateway.copies['t'].rows()] == ['a']

"""If replicas do not compare fences, at most one holder may send orders at any moment.

A state machine makes holders step, pause, lose the store and lose answers on one virtual clock;
the store's clock has a constant offset from it.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.rows import ConditionFailed, Page, Row
from limeshelf.lease.leadership import ORDER_MARGIN_S, Leadership
from limeshelf.lease.row import LEASE_KEY
from limeshelf.util.clock import VirtualClock, virtual_clock
from tests.support.positions import make_position

if TYPE_CHECKING:
    from collections.abc import Callable

LEASE_S = 2.4
#: Time within which two holders must not order in turn.
ORDER_GAP_S = 3.0
#: Store clock minus boot clock.
STORE_CLOCK_OFFSET_S = 5000.0


@attrs.define
class LeaseStore:
    """A store with conditional writes of the lease row; calls may be slow, fail or lose answers.

    :ivar call_s: time that passes before a call is carried out, and again before its answer.
    :ivar late: writes to be carried out later, if their condition still holds.
    """

    clock: VirtualClock
    row: Row | None = None
    call_s: float = 0.0
    away: bool = False
    loses_answers: bool = False
    late: list[tuple[bytes, Position]] = attrs.field(factory=list)

    async def read(self, table: str) -> Page:
        self._fail_if_away()
        self.clock.advance(self.call_s)
        now_ms = int((self.clock.now_s + STORE_CLOCK_OFFSET_S) * 1000)
        page = Page((self.row,) if self.row else (), make_position(1), now_ms)
        self.clock.advance(self.call_s)
        return page

    async def write(
        self, table: str, key: str, value: bytes, expected: Position | None
    ) -> Position:
        self._fail_if_away()
        self.clock.advance(self.call_s)
        if self.loses_answers:
            self.late.append((value, expected or BEGINNING))
            raise PlatformUnknown('store')
        written = self.carry_out(value, expected or BEGINNING)
        self.clock.advance(self.call_s)
        if written is None:
            raise ConditionFailed(())
        return written

    def carry_out(self, value: bytes, expected: Position) -> Position | None:
        position = self.row.position if self.row else BEGINNING
        if position != expected:
            return None
        self.row = Row(LEASE_KEY, value, make_position(position.version + 1), False)
        return self.row.position

    def _fail_if_away(self) -> None:
        if self.away:
            raise PlatformUnavailable('store')


class Holders(RuleBasedStateMachine):
    """Three contenders for the lease."""

    @initialize()
    def begin(self) -> None:
        self.entered = virtual_clock()
        self.clock = self.entered.__enter__()
        self.store = LeaseStore(self.clock)
        self.holders = [self.start_holder(n) for n in range(3)]
        #: Time of each holder's last order, and the holders after whom another one ordered.
        self.last_s: dict[int, float] = {}
        self.followed: set[int] = set()

    def start_holder(self, number: int) -> Leadership:
        store: Any = self.store
        return Leadership(store, f'g-{number}', LEASE_S, False, None, ORDER_GAP_S)

    def teardown(self) -> None:
        if hasattr(self, 'entered'):
            self.entered.__exit__(None, None, None)

    @rule(holder=st.integers(0, 2), call_s=st.sampled_from([0.0, 0.002, 0.1, 0.6]))
    def step(self, holder: int, call_s: float) -> None:
        self.store.call_s = call_s
        asyncio.run(self.holders[holder].renew_or_acquire())
        self.order(holder)

    @rule(seconds=st.sampled_from([0.1, 0.5, 0.9, 2.0, 2.5]))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(away=st.booleans())
    def set_store_away(self, away: bool) -> None:
        self.store.away = away

    @rule(loses=st.booleans())
    def lose_answers(self, loses: bool) -> None:
        self.store.loses_answers = loses

    @rule()
    def carry_out_late_writes(self) -> None:
        for value, expected in self.store.late:
            self.store.carry_out(value, expected)
        self.store.late.clear()

    @rule(holder=st.integers(0, 2))
    def learn_highest_fence(self, holder: int) -> None:
        fence = max(one.fence for one in self.holders)
        self.holders[holder].observe_fence(fence)

    @rule(holder=st.integers(0, 2))
    def restart(self, holder: int) -> None:
        asyncio.run(self.holders[holder].release())
        self.holders[holder] = self.start_holder(holder)

    @rule(holders=st.permutations(range(3)), between_s=st.sampled_from([0.0, 0.4, 1.1]))
    def lead_in_turn(self, holders: list[int], between_s: float) -> None:
        for holder in (*holders, holders[0]):
            self.step(holder, 0.0)
            asyncio.run(self.holders[holder].hand_over('test'))
            self.clock.advance(between_s)

    @rule(holder=st.integers(0, 2))
    def kill_and_start(self, holder: int) -> None:
        self.holders[holder] = self.start_holder(holder)

    def order(self, number: int) -> None:
        """Let a holder order if it may; no holder may do so in turn with others."""
        holder = self.holders[number]
        if holder.order_time_left_s() <= 0:
            return
        with holder.orders.sending():
            now_s = self.clock.now_s
        if number in self.followed:
            assert now_s - self.last_s[number] >= ORDER_GAP_S
        self.last_s[number] = now_s
        self.followed = (self.followed | self.last_s.keys()) - {number}

    @invariant()
    def at_most_one_may_order(self) -> None:
        if hasattr(self, 'holders'):
            ordering = [one.fence for one in self.holders if one.order_time_left_s() > 0]
            assert len(ordering) <= 1
            assert not ordering or ordering[0] == max(one.fence for one in self.holders)


def test_at_most_one_holder_may_order_at_any_moment() -> None:
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        Holders, settings=settings(max_examples=150, stateful_step_count=40, deadline=None)
    )


def leader(
    clock: VirtualClock, checked: bool, call_s: float = 0.0
) -> tuple[LeaseStore, Leadership]:
    """Return a store and a leadership that has acquired the lease."""
    store = LeaseStore(clock, call_s=call_s)
    as_table: Any = store
    leadership = Leadership(as_table, 'g-1', LEASE_S, checked)
    asyncio.run(leadership.renew_or_acquire())
    assert leadership.fence == 1
    return store, leadership


def test_holder_without_the_store_stops_ordering_before_its_lease_expires() -> None:
    with virtual_clock() as clock:
        store, leadership = leader(clock, checked=False)
        store.away = True
        clock.advance(LEASE_S - ORDER_MARGIN_S - 0.01)
        asyncio.run(leadership.renew_or_acquire())
        assert leadership.order_time_left_s() > 0
        clock.advance(0.02)
        assert leadership.order_time_left_s() == 0
        # The term continues, and orders may be sent again once the lease is renewed.
        assert leadership.fence == 1
        store.away = False
        asyncio.run(leadership.renew_or_acquire())
        assert leadership.fence == 1
        assert leadership.order_time_left_s() > 1.0


def test_holder_goes_on_ordering_where_replicas_compare_fences() -> None:
    with virtual_clock() as clock:
        store, leadership = leader(clock, checked=True)
        store.away = True
        clock.advance(60.0)
        assert leadership.order_time_left_s() == math.inf


def test_suspended_holder_may_not_order_when_it_resumes() -> None:
    with virtual_clock() as clock:
        _, leadership = leader(clock, checked=False)
        clock.advance(LEASE_S)
        assert leadership.order_time_left_s() == 0


def test_duration_of_store_calls_does_not_extend_the_lease() -> None:
    """The store's time in a slow answer is already past when the answer arrives."""
    with virtual_clock() as clock:
        _, leadership = leader(clock, checked=False, call_s=0.5)
        assert leadership.order_time_left_s() <= LEASE_S - ORDER_MARGIN_S - 4 * 0.5 + 1e-6


@attrs.define
class InterruptedStore:
    """A store that calls a function before each write."""

    store: LeaseStore
    before_write: Callable[[], None]

    async def read(self, table: str) -> Page:
        return await self.store.read(table)

    async def write(
        self, table: str, key: str, value: bytes, expected: Position | None
    ) -> Position:
        self.before_write()
        return await self.store.write(table, key, value, expected)


def test_term_that_ends_during_its_renewal_is_not_resumed() -> None:
    with virtual_clock() as clock:
        store, leadership = leader(clock, checked=True)
        interrupted: Any = InterruptedStore(store, lambda: leadership.observe_fence(7))
        leadership._store = interrupted
        clock.advance(1.0)
        asyncio.run(leadership.renew_or_acquire())
        assert leadership.fence == 0


def test_released_lease_is_not_acquired_again() -> None:
    with virtual_clock() as clock:
        _, leadership = leader(clock, checked=True)
        asyncio.run(leadership.release())
        clock.advance(LEASE_S)
        asyncio.run(leadership.renew_or_acquire())
        assert leadership.fence == 0

"""At most one holder of the lease, with lost, late and refused writes."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from limeshelf.lease.leadership import Leadership
from limeshelf.lease.row import LEASE_KEY, LEASE_TABLE
from limeshelf.platform.store import StoreClient
from standins.users_platform.store import StoreStandIn

LEASE_S = 1.2


def run_scenario(scenario: Any) -> None:
    async def run() -> None:
        store = StoreStandIn()
        client = StoreClient(await store.start())
        first = Leadership(client, 'g-1', LEASE_S)
        second = Leadership(client, 'g-2', LEASE_S)
        try:
            await scenario(store, first, second)
        finally:
            await client.close()
            await store.close()

    asyncio.run(run())


def test_only_one_holds_the_lease_and_fences_rise() -> None:
    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await asyncio.gather(first.renew_or_acquire(), second.renew_or_acquire())
        assert sorted([first.fence, second.fence]) == [0, 1]
        holder, other = (first, second) if first.fence else (second, first)
        await holder.release()
        await other.renew_or_acquire()
        assert (holder.fence, other.fence) == (0, 2)

    run_scenario(scenario)


def test_lease_of_a_silent_holder_is_acquired_after_its_expiry() -> None:
    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await first.renew_or_acquire()
        await second.renew_or_acquire()
        assert second.fence == 0
        await asyncio.sleep(LEASE_S + 0.2)
        await second.renew_or_acquire()
        assert second.fence == 2
        second.observe_fence(1)
        assert second.fence == 2
        first.observe_fence(2)
        assert first.fence == 0

    run_scenario(scenario)


def test_term_goes_on_while_the_store_is_unavailable() -> None:
    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await first.renew_or_acquire()
        store.faults.status = 503
        await asyncio.sleep(LEASE_S)
        await first.renew_or_acquire()
        assert first.fence == 1
        store.faults.status = 0
        await first.renew_or_acquire()
        assert first.fence == 1
        await second.renew_or_acquire()
        assert second.fence == 0

    run_scenario(scenario)


def test_renewal_is_one_call() -> None:
    """A renewal is one conditional write; a read before it would double the calls."""

    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await first.renew_or_acquire()
        before = store.calls
        for _ in range(3):
            await asyncio.sleep(LEASE_S * 0.4)
            await first.renew_or_acquire()
        assert store.calls - before == 3
        await second.renew_or_acquire()
        assert (first.fence, second.fence) == (1, 0)

    run_scenario(scenario)


def test_renewal_succeeds_after_one_whose_answer_was_lost() -> None:
    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await first.renew_or_acquire()
        store.faults.lose_answers = True
        await asyncio.sleep(LEASE_S * 0.4)
        await first.renew_or_acquire()
        store.faults.lose_answers = False
        await first.renew_or_acquire()
        await asyncio.sleep(LEASE_S * 0.8)
        await second.renew_or_acquire()
        assert (first.fence, second.fence) == (1, 0)

    run_scenario(scenario)


def test_acquisition_whose_answer_was_lost_makes_no_second_holder() -> None:
    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        store.faults.lose_answers = True
        await first.renew_or_acquire()
        store.faults.lose_answers = False
        assert first.fence == 0
        await second.renew_or_acquire()
        assert second.fence == 0
        await first.renew_or_acquire()
        assert first.fence == 2
        assert store._tables[LEASE_TABLE][LEASE_KEY].version > 1

    run_scenario(scenario)


def test_replaced_holder_ends_its_term_at_the_next_renewal() -> None:
    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await first.renew_or_acquire()
        await asyncio.sleep(LEASE_S + 0.2)
        await second.renew_or_acquire()
        assert (first.fence, second.fence) == (1, 2)
        await first.renew_or_acquire()
        assert (first.fence, second.fence) == (0, 2)

    run_scenario(scenario)


def test_store_outage_is_logged_once_at_its_start_and_once_at_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(
        'limeshelf.lease.leadership.log_change',
        lambda event, **fields: events.append((event, fields)),
    )

    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        store.faults.status = 503
        for _ in range(3):
            await first.renew_or_acquire()
        store.faults.status = 0
        for _ in range(3):
            await first.renew_or_acquire()

    run_scenario(scenario)
    assert [event for event, _ in events] == [
        'lease_store_lost',
        'term_begun',
        'lease_store_reached',
    ]
    assert events[0][1] == {'fence': 0, 'cause': 'PlatformUnavailable'}


def test_unreadable_row_is_replaced_after_the_time_of_a_lease() -> None:
    """It may have replaced the row of a holder, which notices that only at its next renewal."""

    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await first.renew_or_acquire()
        await second.renew_or_acquire()
        store.put(LEASE_TABLE, LEASE_KEY, 'bm8gbGVhc2U=')
        await second.renew_or_acquire()
        assert second.fence == 0
        await asyncio.sleep(LEASE_S / 2)
        await first.renew_or_acquire()
        assert first.fence == 0
        await asyncio.sleep(LEASE_S)
        await second.renew_or_acquire()
        assert second.fence > 1

    run_scenario(scenario)


def test_fence_is_not_reused_after_an_unreadable_row() -> None:
    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        for _ in range(3):
            await first.renew_or_acquire()
            fence = first.fence
            first.end_term('tried')
        store.put(LEASE_TABLE, LEASE_KEY, 'bm8gbGVhc2U=')
        await second.renew_or_acquire()
        await asyncio.sleep(LEASE_S + 0.1)
        await second.renew_or_acquire()
        assert second.fence > fence

    run_scenario(scenario)

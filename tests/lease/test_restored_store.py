"""The lease after the store was restored from an older copy: one holder, and rising fences."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

from limeshelf.feeds.store_clock import StoreClock
from limeshelf.lease.leadership import Leadership
from limeshelf.lease.row import LEASE_KEY, LEASE_TABLE, LeaseValue
from limeshelf.platform.store import StoreClient
from standins.users_platform.store import StoreStandIn

LEASE_S = 1.2


def run_scenario(scenario: Any, replicas_check_fences: bool = True) -> None:
    async def run() -> None:
        store = StoreStandIn(era=1)
        address = await store.start()
        clocks = [StoreClock(), StoreClock()]
        clients = [StoreClient(address, clock=clock) for clock in clocks]
        holders = [
            Leadership(client, f'g-{number}', LEASE_S, replicas_check_fences, clock)
            for number, (client, clock) in enumerate(zip(clients, clocks, strict=True))
        ]
        try:
            await scenario(store, *holders)
        finally:
            for client in clients:
                await client.close()
            await store.close()

    asyncio.run(run())


def test_holder_whose_row_is_lost_goes_on_with_a_higher_fence() -> None:
    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await second.renew_or_acquire()
        await second.release()
        await first.renew_or_acquire()
        before = first.fence
        assert before > 0
        store.restore_version(0)
        await asyncio.sleep(LEASE_S * 0.4)
        await first.renew_or_acquire()
        assert first.fence > before
        assert store.rows(LEASE_TABLE)

    run_scenario(scenario)


def test_contender_waits_for_a_lease_that_the_store_has_lost() -> None:
    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await first.renew_or_acquire()
        await second.renew_or_acquire()
        before = first.fence
        store.restore_version(0)
        for _ in range(5):
            await second.renew_or_acquire()
            assert second.fence == 0
            await asyncio.sleep(LEASE_S * 0.1)
        await first.renew_or_acquire()
        assert first.fence > before
        await asyncio.sleep(LEASE_S * 0.7)
        await second.renew_or_acquire()
        assert second.fence == 0

    run_scenario(scenario)


def test_contender_acquires_a_lost_lease_once_its_holder_may_not_order() -> None:
    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await first.renew_or_acquire()
        await second.renew_or_acquire()
        store.restore_version(0)
        await second.renew_or_acquire()
        await asyncio.sleep(LEASE_S + 0.1)
        assert first.order_time_left_s() == 0.0
        await second.renew_or_acquire()
        assert second.fence > first.fence
        await first.renew_or_acquire()
        assert first.fence == 0

    run_scenario(scenario, replicas_check_fences=False)


def test_fence_is_not_reused_after_a_late_write_of_an_earlier_era() -> None:
    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await first.renew_or_acquire()
        earlier = store.rows(LEASE_TABLE)[0]['Value']
        store.restore_version(0)
        await asyncio.sleep(LEASE_S * 0.4)
        await first.renew_or_acquire()
        taken = first.fence
        store.put(LEASE_TABLE, LEASE_KEY, earlier)
        await second.renew_or_acquire()
        await asyncio.sleep(LEASE_S + 0.1)
        await second.renew_or_acquire()
        assert second.fence > taken

    run_scenario(scenario)


def test_condition_of_an_earlier_era_that_holds_by_chance_is_no_renewal() -> None:
    """The expected version may by now be that of another holder's row."""

    async def scenario(store: StoreStandIn, first: Leadership, second: Leadership) -> None:
        await first.renew_or_acquire()
        version = store.version
        store.restore_version(0)
        other = LeaseValue('g-9', (2 << 32) + 1, 10**12)
        store.put(LEASE_TABLE, LEASE_KEY, base64.b64encode(other.encode()).decode())
        assert store.version == version
        await asyncio.sleep(LEASE_S * 0.4)
        await first.renew_or_acquire()
        assert first.fence == 0
        await asyncio.sleep(LEASE_S + 0.1)
        await first.renew_or_acquire()
        assert first.fence > other.fence

    run_scenario(scenario)

"""How often a process asks a store that is away, with several tables to follow."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any

import pytest

from limeshelf.errors import PlatformUnavailable
from limeshelf.feeds import store_reach
from limeshelf.feeds.store_reach import StoreReach
from limeshelf.util.clock import virtual_clock


class Away:
    """A store that is away until told otherwise; counts its calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.away = True

    async def ask(self, reach: StoreReach) -> None:
        async with reach.attempt(lambda: 0.0):
            self.calls += 1
            await asyncio.sleep(0)
            if self.away:
                raise PlatformUnavailable('store')

    async def follow(self, reach: StoreReach) -> None:
        while True:
            try:
                await self.ask(reach)
            except PlatformUnavailable:
                continue
            return


def test_tables_of_a_process_share_one_attempt(monkeypatch: Any) -> None:
    """Before: each of three tables asked by itself, three times as often."""
    monkeypatch.setattr(store_reach, 'equal_jitter_s', lambda attempt, base_s, limit_s: 0.05)

    async def play() -> None:
        store, reach = Away(), StoreReach()
        tasks = [asyncio.create_task(store.follow(reach)) for _ in range(3)]
        await asyncio.sleep(0.5)
        # Three at the start, then one each 0.05 s.
        assert 5 <= store.calls <= 14
        store.away = False
        async with asyncio.timeout(1.0):
            await asyncio.gather(*tasks)

    asyncio.run(play())


def test_failure_is_passed_on() -> None:
    async def play() -> None:
        with pytest.raises(PlatformUnavailable):
            await Away().ask(StoreReach())

    asyncio.run(play())


def test_store_that_stays_away_is_asked_twice_a_second_at_most(monkeypatch: Any) -> None:
    """Before: with pauses from zero on, three gateways sent 35 to 49 calls in 4 s."""
    monkeypatch.setattr(random, 'uniform', lambda low, high: low)

    async def play() -> None:
        store, reach = Away(), StoreReach()
        tasks = [asyncio.create_task(store.follow(reach)) for _ in range(3)]
        await asyncio.sleep(1.0)
        calls = store.calls
        await asyncio.sleep(2.0)
        assert store.calls - calls <= 5
        for task in tasks:
            task.cancel()

    asyncio.run(play())


def test_failure_of_long_ago_owes_no_pause(monkeypatch: Any) -> None:
    monkeypatch.setattr(store_reach, 'equal_jitter_s', lambda attempt, base_s, limit_s: 5.0)

    async def play() -> None:
        store, reach = Away(), StoreReach()
        with virtual_clock() as clock:
            with pytest.raises(PlatformUnavailable):
                await store.ask(reach)
            store.away = False
            clock.advance(5.1)
            async with asyncio.timeout(0.5):
                await store.ask(reach)

    asyncio.run(play())


def test_call_is_a_try_only_while_the_store_is_out_of_reach(monkeypatch: Any) -> None:
    monkeypatch.setattr(store_reach, 'equal_jitter_s', lambda attempt, base_s, limit_s: 0.0)

    async def play() -> None:
        reach = StoreReach()
        tries: list[bool] = []
        for failing in (True, True, False, False):
            with contextlib.suppress(PlatformUnavailable):
                async with reach.attempt(lambda: 0.0) as is_try:
                    tries.append(is_try)
                    if failing:
                        raise PlatformUnavailable('store')
        assert tries == [False, True, True, False]

    asyncio.run(play())


def test_pause_ends_when_its_reason_does(monkeypatch: Any) -> None:
    """A gateway that relays would have told, and that loses them, waits no longer for them."""
    monkeypatch.setattr(store_reach, 'equal_jitter_s', lambda attempt, base_s, limit_s: 0.0)
    monkeypatch.setattr(store_reach.random, 'random', lambda: 1.0)
    spread_s = 30.0

    async def ask(reach: StoreReach) -> None:
        async with reach.attempt(lambda: spread_s):
            pass

    async def play() -> None:
        nonlocal spread_s
        reach = StoreReach()
        with pytest.raises(PlatformUnavailable):
            await Away().ask(reach)
        task = asyncio.create_task(ask(reach))
        await asyncio.sleep(0.02)
        assert not task.done()
        spread_s = 0.0
        async with asyncio.timeout(3 * store_reach.PAUSE_CHECK_INTERVAL_S):
            await task

    asyncio.run(play())

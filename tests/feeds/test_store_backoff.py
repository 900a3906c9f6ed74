"""How often a process that follows several tables calls an unavailable store."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any

import pytest

from limeshelf.errors import PlatformUnavailable
from limeshelf.feeds import store_backoff
from limeshelf.feeds.store_backoff import StoreBackoff
from limeshelf.util.clock import virtual_clock


class UnavailableStore:
    """A store that is initially unavailable; counts its calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.is_unavailable = True

    async def call(self, backoff: StoreBackoff) -> None:
        async with backoff.attempt(lambda: 0.0):
            self.calls += 1
            await asyncio.sleep(0)
            if self.is_unavailable:
                raise PlatformUnavailable('store')

    async def follow(self, backoff: StoreBackoff) -> None:
        while True:
            try:
                await self.call(backoff)
            except PlatformUnavailable:
                continue
            return


def test_tables_share_one_probe(monkeypatch: Any) -> None:
    """If each of three tables retried independently, there would be three times as many calls."""
    monkeypatch.setattr(store_backoff, 'equal_jitter_s', lambda attempt, base_s, limit_s: 0.05)

    async def scenario() -> None:
        store, backoff = UnavailableStore(), StoreBackoff()
        tasks = [asyncio.create_task(store.follow(backoff)) for _ in range(3)]
        await asyncio.sleep(0.5)
        # Three initial calls, then one every 0.05 s.
        assert 5 <= store.calls <= 14
        store.is_unavailable = False
        async with asyncio.timeout(1.0):
            await asyncio.gather(*tasks)

    asyncio.run(scenario())


def test_failure_is_raised_to_the_caller() -> None:
    async def scenario() -> None:
        with pytest.raises(PlatformUnavailable):
            await UnavailableStore().call(StoreBackoff())

    asyncio.run(scenario())


def test_unavailable_store_gets_two_calls_per_second_at_most(monkeypatch: Any) -> None:
    """With random pauses that start at zero, three gateways sent 35 to 49 calls in 4 s."""
    monkeypatch.setattr(random, 'uniform', lambda low, high: low)

    async def scenario() -> None:
        store, backoff = UnavailableStore(), StoreBackoff()
        tasks = [asyncio.create_task(store.follow(backoff)) for _ in range(3)]
        await asyncio.sleep(1.0)
        calls = store.calls
        await asyncio.sleep(2.0)
        assert store.calls - calls <= 5
        for task in tasks:
            task.cancel()

    asyncio.run(scenario())


def test_old_failure_causes_no_pause(monkeypatch: Any) -> None:
    monkeypatch.setattr(store_backoff, 'equal_jitter_s', lambda attempt, base_s, limit_s: 5.0)

    async def scenario() -> None:
        store, backoff = UnavailableStore(), StoreBackoff()
        with virtual_clock() as clock:
            with pytest.raises(PlatformUnavailable):
                await store.call(backoff)
            store.is_unavailable = False
            clock.advance(5.1)
            async with asyncio.timeout(0.5):
                await store.call(backoff)

    asyncio.run(scenario())


def test_call_is_a_probe_only_after_a_failure(monkeypatch: Any) -> None:
    monkeypatch.setattr(store_backoff, 'equal_jitter_s', lambda attempt, base_s, limit_s: 0.0)

    async def scenario() -> None:
        backoff = StoreBackoff()
        probes: list[bool] = []
        for failing in (True, True, False, False):
            with contextlib.suppress(PlatformUnavailable):
                async with backoff.attempt(lambda: 0.0) as is_probe:
                    probes.append(is_probe)
                    if failing:
                        raise PlatformUnavailable('store')
        assert probes == [False, True, True, False]

    asyncio.run(scenario())


def test_pause_ends_when_its_spread_becomes_zero(monkeypatch: Any) -> None:
    """A gateway that waits for updates from relays polls at once if it becomes isolated."""
    monkeypatch.setattr(store_backoff, 'equal_jitter_s', lambda attempt, base_s, limit_s: 0.0)
    monkeypatch.setattr(store_backoff.random, 'random', lambda: 1.0)
    spread_s = 30.0

    async def call(backoff: StoreBackoff) -> None:
        async with backoff.attempt(lambda: spread_s):
            pass

    async def scenario() -> None:
        nonlocal spread_s
        backoff = StoreBackoff()
        with pytest.raises(PlatformUnavailable):
            await UnavailableStore().call(backoff)
        task = asyncio.create_task(call(backoff))
        await asyncio.sleep(0.02)
        assert not task.done()
        spread_s = 0.0
        async with asyncio.timeout(3 * store_backoff.PAUSE_CHECK_INTERVAL_S):
            await task

    asyncio.run(scenario())

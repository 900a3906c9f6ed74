"""Planned stop: the notice, the wait for running requests, and what ends it early."""

from __future__ import annotations

import asyncio

from limeshelf.standalone.entry.lifecycle import Lifecycle, Phase

LONG_S = 60.0


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 10))


def test_requests_are_taken_while_serving_and_during_the_notice() -> None:
    async def case() -> None:
        lifecycle = Lifecycle()
        taken = {}
        for phase in Phase:
            lifecycle.enter(phase)
            taken[phase] = (lifecycle.takes_requests, lifecycle.is_ready)
        assert taken == {
            Phase.STARTING: (False, False),
            Phase.SERVING: (True, True),
            Phase.NOTICE: (True, False),
            Phase.DRAINING: (False, False),
        }

    run(case())


def test_drain_ends_with_the_last_request() -> None:
    async def case() -> None:
        lifecycle = Lifecycle()
        with lifecycle:
            draining = asyncio.ensure_future(lifecycle.drain(0.0, LONG_S, asyncio.Event()))
            while lifecycle.phase is not Phase.DRAINING:
                await asyncio.sleep(0)
            assert not draining.done()
        assert await draining == 0

    run(case())


def test_limit_cuts_off_what_still_runs() -> None:
    async def case() -> None:
        lifecycle = Lifecycle()
        with lifecycle, lifecycle:
            assert await lifecycle.drain(0.0, 0.01, asyncio.Event()) == 2

    run(case())


def test_second_signal_ends_notice_and_drain_at_once() -> None:
    async def case() -> None:
        lifecycle = Lifecycle()
        at_once = asyncio.Event()
        at_once.set()
        with lifecycle:
            assert await lifecycle.drain(LONG_S, LONG_S, at_once) == 1

    run(case())

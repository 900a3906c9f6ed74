"""Tests that the store client leaves a silent store soon, and loses no answer of a slow one."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import pytest
from aiohttp import web

from limeshelf.errors import AnswerLate, PlatformUnknown
from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.position import BEGINNING
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.lease.leadership import Leadership
from limeshelf.platform import silence
from limeshelf.platform import store as store_module
from limeshelf.platform.store import StoreClient
from limeshelf.util.clock import boottime_s
from standins.users_platform.store import StoreStandIn
from tests.support.narrow_link import NarrowLink
from tests.support.store import with_store

#: How long a silent store may keep a call, as before its answers were waited for any longer.
LEFT_WITHIN_S = 1.6
VALUE = base64.b64encode(b'v' * 3000).decode()


async def until(condition: Any, limit_s: float) -> None:
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


def test_silent_store_is_left_soon_and_again_after_slow_answers() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        await client.read('t')
        store.faults.silent = True
        for _ in range(3):
            started_s = boottime_s()
            with pytest.raises(AnswerLate):
                await client.read('t')
            assert boottime_s() - started_s < LEFT_WITHIN_S

    with_store(scenario)


def test_late_answer_lets_the_next_calls_wait_longer() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        store.faults.answer_delay_s = 1.5
        with pytest.raises(AnswerLate) as late:
            await client.read('t')
        await late.value.answer
        await client.read('t')
        await client.write('t', 'a', b'1', BEGINNING)

    with_store(scenario)


def test_slow_store_is_not_called_more_often_than_a_silent_one() -> None:
    async def calls_within(delay_s: float, silent: bool) -> int:
        store = StoreStandIn()
        client = StoreClient(await store.start())
        store.faults.answer_delay_s, store.faults.silent = delay_s, silent
        follower = asyncio.create_task(TableFollower(_copy(), client).run())
        await asyncio.sleep(8.0)
        follower.cancel()
        await client.close()
        await store.close()
        return store.calls

    async def scenario() -> None:
        silent, slow, slower = await asyncio.gather(
            calls_within(0.0, True), calls_within(2.0, False), calls_within(5.0, False)
        )
        assert slow <= silent + 1
        assert slower <= silent + 1

    asyncio.run(scenario())


def test_table_that_takes_long_to_arrive_is_read_at_the_first_call() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        for number in range(200):
            store.put('t', f'k{number}', VALUE)
        link = NarrowLink(store_address(client), bytes_per_s=200_000)
        client.change_address(await link.start())
        calls_before = store.calls
        page = await client.read('t')
        assert len(page.rows) == 200
        assert store.calls == calls_before + 1
        await link.close()

    with_store(scenario)


def test_slow_store_is_followed_beside_a_connection_that_fell_silent() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        copy = _copy()
        follower = asyncio.create_task(TableFollower(copy, client).run())
        await until(lambda: copy.confirmed_s, 2.0)
        store.faults.silent = True
        await asyncio.sleep(2.0)
        store.faults.silent = False
        store.faults.answer_delay_s = 2.0
        store.put('t', 'new', VALUE)
        await until(lambda: copy.rows(), 8.0)
        follower.cancel()

    with_store(scenario)


@pytest.mark.parametrize('delay_s', [1.5, 2.5])
def test_lease_is_acquired_while_the_store_is_slow(delay_s: float) -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        store.faults.answer_delay_s = delay_s
        leadership = Leadership(client, 'g', lease_s=3.0)
        async with asyncio.timeout(30.0):
            while leadership.term is None:
                await leadership.renew_or_acquire()
                await asyncio.sleep(0.3)
        for _ in range(3):
            await leadership.renew_or_acquire()
            assert leadership.term is not None
            await asyncio.sleep(0.3)

    with_store(scenario)


def _copy() -> TableCopy:
    return TableCopy('t', lambda row: None, FollowRule(wait_s=0.5))


def store_address(client: StoreClient) -> str:
    return client._base_url.removeprefix('http://')


def test_follower_that_waits_for_a_slow_answer_finds_a_store_that_is_sound_again() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        copy = _copy()
        store.faults.answer_delay_s = 6.0
        follower = asyncio.create_task(TableFollower(copy, client).run())
        await until(lambda: copy.confirmed_s, 10.0)
        await asyncio.sleep(1.0)
        store.faults.answer_delay_s = 0.0
        store.put('t', 'new', VALUE)
        # The users count a gateway as in touch again after this time.
        await until(lambda: copy.rows(), 4.0)
        follower.cancel()

    with_store(scenario)


@pytest.mark.parametrize(('part', 'pause_s'), [(b'x' * 65536, 0.0), (b'x', 0.1)])
def test_answer_without_end_is_given_up(monkeypatch: Any, part: bytes, pause_s: float) -> None:
    monkeypatch.setattr(store_module, 'MAX_ANSWER_BYTES', 1 << 20)
    monkeypatch.setattr(silence, 'MAX_CALL_S', 1.0)

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(part)
            await asyncio.sleep(pause_s)

    async def scenario() -> None:
        runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        client = StoreClient(f'127.0.0.1:{runner.addresses[0][1]}')
        async with asyncio.timeout(3.0):
            with pytest.raises(PlatformUnknown):
                await client.read('t')
        await client.close()
        await runner.cleanup()

    asyncio.run(scenario())

"""Tests that a change reaches every gateway in time when the gateways that poll lose the store.

Each gateway is a process of its own. The store serves all others and takes the changes; the
gateways without it stay connected to the others.
"""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from tests.platform_soak.callers import Callers
from tests.platform_soak.link import Impairment
from tests.platform_soak.moves import MOVED, runs_of
from tests.platform_soak.world import PROPAGATION_LIMIT_S, GatewayProcess, Move, World

GATEWAYS = 24
START_LIMIT_S = 30.0
#: Gateways that lose the store, the first ones in the polling order: the relays of all three data
#: centres, and with them the next ones of each.
LOST = (6, 9, 12)
#: Time from a change that reaches all to the loss of the store: until then all copies have been
#: confirmed as late as possible.
CONFIRMED_S = 0.1
#: Time from the loss to the first change, and between two changes, in seconds.
CHANGE_DELAYS_S = (0.0, 2.6, 3.3)
CALL_INTERVAL_S = 0.1
#: Gateways of which three, one in each data centre, are no relays.
SMALL_FLEET = 9
OUTAGES = 4
#: How long the store is away for all of them.
OUTAGE_S = 5.0
#: A gateway counts as in touch again from this long after it reaches the store again.
CONTACT_S = 3.0
#: Calls need no keys, so that none is refused for a key that its gateway does not know yet.
NO_KEY = 'none'


def polling_sequence(world: World) -> list[str]:
    """Return the addresses of all gateways in the order in which they poll the store.

    The weights are equal, so that those of one data centre are ranked by address.
    """
    ranks: dict[str, int] = {}
    ordered = []
    for one in sorted(world.gateways, key=lambda one: f'{one.ip}:{world.ports["peers"]}'):
        ranks[one.data_centre] = rank = ranks.get(one.data_centre, -1) + 1
        ordered.append((rank, one.data_centre, one.ip))
    return [ip for _, _, ip in sorted(ordered)]


async def call_repeatedly(callers: Callers, session: aiohttp.ClientSession, ip: str) -> None:
    while True:
        await callers.call(session, ip, MOVED, NO_KEY)
        await asyncio.sleep(CALL_INTERVAL_S)


def late_calls(world: World, callers: Callers, changes: list[Move], judged: set[str]) -> list[str]:
    """Return a line for each call that an outdated configuration sent to the wrong service.

    :param changes: of the moved route, the first one first.
    :param judged: addresses of the gateways that are in touch.
    """
    runs = runs_of(world)
    limit_s = world.site.config_ms / 1000
    late = []
    for call in callers.history:
        run = runs.get(call.call_id)
        in_force = [one for one in changes if call.sent_s > one.written_s + limit_s]
        if run is None or call.gateway not in judged or call.kind != MOVED or not in_force:
            continue
        newer = changes[changes.index(in_force[-1]) :]
        allowed = {one.service for one in newer if one.written_s <= run.at_s}
        if run.service not in allowed:
            after_s = call.sent_s - in_force[-1].written_s
            late.append(f'{call.gateway}: version {in_force[-1].version} after {after_s:.2f} s')
    return late


def restore_store(gateway: GatewayProcess) -> None:
    gateway.link.restore()


def lose_store(gateway: GatewayProcess) -> None:
    gateway.link.impairment = Impairment.REFUSE
    gateway.link.reset_all()


async def wait_until_ready(callers: Callers, gateways: int) -> None:
    async with asyncio.timeout(START_LIMIT_S):
        while len(await callers.ready_gateways()) < gateways:
            await asyncio.sleep(CALL_INTERVAL_S)


@pytest.mark.parametrize('lost', LOST)
def test_change_is_in_force_in_time_when_the_first_gateways_that_poll_lose_the_store(
    lost: int,
) -> None:
    async def run() -> list[str]:
        world = World(GATEWAYS, needs_keys=False)
        callers = Callers(world, seed=1)
        tasks: list[asyncio.Task[None]] = []
        try:
            await world.start()
            await wait_until_ready(callers, GATEWAYS)
            await asyncio.sleep(PROPAGATION_LIMIT_S)
            cut_off = set(polling_sequence(world)[:lost])
            session = aiohttp.ClientSession(auto_decompress=False)
            async with session:
                for one in world.gateways:
                    tasks.append(asyncio.create_task(call_repeatedly(callers, session, one.ip)))
                world.configure()
                await asyncio.sleep(CONFIRMED_S)
                for one in world.gateways:
                    if one.ip in cut_off:
                        one.link.impairment = Impairment.SILENT
                changes = []
                for delay_s in CHANGE_DELAYS_S:
                    await asyncio.sleep(delay_s)
                    world.configure()
                    changes.append(world.moves[-1])
                await asyncio.sleep(2 * PROPAGATION_LIMIT_S)
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            judged = {one.ip for one in world.gateways} - cut_off
            return late_calls(world, callers, changes, judged)
        finally:
            for task in tasks:
                task.cancel()
            await callers.stop()
            await world.close()

    late = asyncio.run(run())
    assert not late, f'{len(late)} calls, {late[:5]} ... {late[-5:]}'


def test_last_gateway_polls_in_time_when_it_alone_reaches_the_store_again() -> None:
    async def run() -> list[int]:
        world = World(SMALL_FLEET, needs_keys=False)
        callers = Callers(world, seed=1)
        statuses = []
        try:
            await world.start()
            await wait_until_ready(callers, SMALL_FLEET)
            last_ip = polling_sequence(world)[-1]
            last = next(one for one in world.gateways if one.ip == last_ip)
            for _ in range(OUTAGES):
                for one in world.gateways:
                    lose_store(one)
                await asyncio.sleep(OUTAGE_S)
                restore_store(last)
                world.configure()
                await asyncio.sleep(CONTACT_S)
                async with aiohttp.ClientSession(auto_decompress=False) as session:
                    kind = f'only{world.version}'
                    statuses.append((await callers.call(session, last_ip, kind, NO_KEY)).status)
                for one in world.gateways:
                    restore_store(one)
                await asyncio.sleep(CONTACT_S)
            return statuses
        finally:
            await callers.stop()
            await world.close()

    assert asyncio.run(run()) == [200] * OUTAGES

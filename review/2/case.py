"""A replica's entry goes while some of the gateways are started again."""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
import signal
import time
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from review.common.deployment import (
    HOST,
    Deployment,
    GatewayProcess,
    Record,
    has_trouble,
    route,
    run_script,
)
from standins.users_platform.replica import ReplicaStandIn

SERVICE = 'app'
REPLICAS = 8
GATEWAYS = 9
#: The gateways that are killed at once: the first two of two of the three data centres.
KILLED = (0, 1, 3, 4)
#: ``DrainMs`` of the site.
DRAIN_S = 2.0
#: How long a replica serves on after its entry went: ``DrainMs`` and "a little longer (at times
#: many seconds)".
SERVES_ON_S = DRAIN_S + 6.0
#: The platform starts a killed process again "after a short delay".
RESTART_DELAY_S = 0.2
#: The entry goes this long after the kill.
GOES_AFTER_S = 0.5
ROUNDS = 14
#: Time from one kill to the next; longer than ``ContactMs`` after the killed gateways are back.
ROUND_S = 6.5
#: Longer than ``ContactMs`` of the site, so that all gateways are in touch before a round.
SETTLE_S = 4.0
CALLERS_PER_GATEWAY = 2
PAUSE_S = (0.05, 0.25)


class LeavingReplica(ReplicaStandIn):
    """A plain replica that may leave without saying ``draining``.

    :ivar went_s: when the store took its entry away, on the monotonic clock; ``None`` before.
    """

    def __init__(self, replica_id: str, record: Record) -> None:
        super().__init__(replica_id)
        self.work_s = 0.045
        self.went_s: float | None = None
        self.late: list[tuple[str, float]] = []
        self._record = record

    async def _run(
        self, request: web.BaseRequest, call_id: str, fault: Any, streams: bool
    ) -> web.StreamResponse:
        if self.went_s is None:
            self._record.add('run', self.replica_id, call_id)
        else:
            late_s = time.monotonic() - self.went_s
            self._record.add(
                'run', self.replica_id, call_id, f'{late_s:.3f} s after its entry went'
            )
            self.late.append((call_id, late_s))
        return await super()._run(request, call_id, fault, streams)


def _configuration() -> dict[str, Any]:
    return {
        'Version': 3,
        'Routes': [
            route('book', 'unsafe', SERVICE, TimeoutMs=1200, LatencySloMs=150, Priority=2),
        ],
        'Services': [{'Name': SERVICE, 'HealthPath': '/healthz', 'MaxConns': 100}],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


class Callers:
    """Clients that send one call after the other, without retries."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.gateway_of: dict[str, str] = {}
        self.statuses: collections.Counter[int] = collections.Counter()
        self.ended = False
        self._deployment = deployment
        self._record = record
        self._ids = itertools.count(1)

    async def run(self, gateway: GatewayProcess, seed: int) -> None:
        """Send calls to one gateway while it takes any."""
        draw = random.Random(seed)
        while not self.ended:
            await self._call(gateway)
            await asyncio.sleep(draw.uniform(*PAUSE_S))

    async def _call(self, gateway: GatewayProcess) -> None:
        caller = self._deployment.caller
        assert caller is not None
        call_id = f'c{next(self._ids):06d}'
        self.gateway_of[call_id] = gateway.name
        headers = {
            'Host': HOST,
            'Limeshelf-Attempt-Id': call_id,
            'Limeshelf-Deadline-Ms': '2500',
        }
        self._record.add('sent', call_id, gateway.name)
        try:
            url = f'{gateway.calls_url}/book/x'
            async with caller.post(url, headers=headers, data=b'slot') as answer:
                await answer.read()
                self.statuses[answer.status] += 1
                self._record.add('answered', call_id, answer.status)
        except aiohttp.ClientError as error:
            self._record.add('broken', call_id, type(error).__name__)


class Platform:
    """Replaces replicas: a new one starts, and an old one leaves without saying so."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.left: list[LeavingReplica] = []
        self._deployment = deployment
        self._record = record
        self._numbers = itertools.count(REPLICAS + 1)

    async def add(self) -> None:
        """Start a new replica, which writes its entry."""
        replica = LeavingReplica(f'i-{next(self._numbers)}', self._record)
        await replica.start()
        self._deployment.add_replica(SERVICE, replica)
        self._record.add('replica', replica.replica_id, 'starts')

    def remove_oldest(self) -> LeavingReplica:
        """Take the entry of the oldest replica away; it serves on for a while."""
        replica = self._deployment.replicas[SERVICE][0]
        assert isinstance(replica, LeavingReplica)
        self._deployment.remove_replica(SERVICE, replica)
        replica.went_s = time.monotonic()
        self.left.append(replica)
        self._record.add('replica', replica.replica_id, 'entry gone, serves on')
        return replica

    async def end(self, replica: LeavingReplica) -> None:
        """End a replica some time after its entry went."""
        assert replica.went_s is not None
        await asyncio.sleep(replica.went_s + SERVES_ON_S - time.monotonic())
        self._record.add('replica', replica.replica_id, 'ends')
        await replica.crash()


async def _play_round(deployment: Deployment, platform: Platform, kills: bool) -> LeavingReplica:
    """Kill some gateways; meanwhile the entry of a replica goes, which is returned."""
    killed = [deployment.gateways[number] for number in KILLED] if kills else []
    began_s = time.monotonic()
    for gateway in killed:
        deployment.record.add('kill', gateway.name)
        gateway.signal(signal.SIGKILL)
    for gateway in killed:
        gateway.wait()
    await asyncio.sleep(began_s + RESTART_DELAY_S - time.monotonic())
    for gateway in killed:
        gateway.start()
        deployment.record.add('start', gateway.name)
    await asyncio.sleep(began_s + GOES_AFTER_S - time.monotonic())
    left = platform.remove_oldest()
    await platform.add()
    await asyncio.sleep(began_s + ROUND_S - time.monotonic())
    return left


async def _play(kills: bool) -> int:
    record = Record(Path(__file__).parent / 'record.txt')
    replicas: list[ReplicaStandIn] = [
        LeavingReplica(f'i-{number}', record) for number in range(1, REPLICAS + 1)
    ]
    async with Deployment(
        record, {SERVICE: replicas}, _configuration(), GATEWAYS, int(1000 * DRAIN_S)
    ) as deployment:
        callers = Callers(deployment, record)
        tasks = [
            asyncio.create_task(callers.run(gateway, 100 * number + one))
            for number, gateway in enumerate(deployment.gateways)
            for one in range(CALLERS_PER_GATEWAY)
        ]
        platform = Platform(deployment, record)
        await asyncio.sleep(SETTLE_S)
        ends = []
        for _ in range(ROUNDS):
            left = await _play_round(deployment, platform, kills)
            ends.append(asyncio.create_task(platform.end(left)))
        await asyncio.gather(*ends)
        callers.ended = True
        await asyncio.gather(*tasks)
    # These were killed; the others were left alone all the time.
    touched = {deployment.gateways[number].name for number in KILLED}
    late = {
        replica.replica_id: [
            late_s
            for call_id, late_s in replica.late
            if late_s > DRAIN_S and callers.gateway_of.get(call_id) not in {None, *touched}
        ]
        for replica in platform.left
    }
    broken = {name: len(times) for name, times in late.items() if times}
    calls = len(callers.gateway_of)
    summary = (
        f'calls {calls}, replicas that left {len(platform.left)}; calls that reached one later '
        f'than {DRAIN_S} s after its entry went, through gateways left alone: {broken}; '
        f'answers {dict(callers.statuses)}'
    )
    record.add('summary', summary)
    print(summary)
    return 1 if broken else 0


if __name__ == '__main__':
    run_script(_play(has_trouble()))

"""A surplus answer with status 421 arrives where the answer to the next call is due."""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
import time
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from review.common.deployment import (
    HOST,
    Deployment,
    Record,
    has_trouble,
    route,
    run_script,
)
from standins.users_platform.replica import ReplicaStandIn

#: Share of its answers to which the faulty replica adds a surplus one; the site allows 0.03.
MAX_SPOILED_SHARE = 0.03
#: The replica is faulty for this long at a time, as the site's entry says, and sound in between.
FAULTY_S = 5.0
SOUND_S = 3.0
ENGINE = 'lm'
MODEL = 'm1'
ADAPTERS = tuple(f'a{number}' for number in range(1, 11))
#: Data centre of each replica. The first two are faulty, a share of 0.5; the site allows 0.6.
DATA_CENTRES = ('z1', 'z2', 'z3', 'z3')
FAULTY = 2
LENGTH_S = 70.0
CALLERS_PER_GATEWAY = 12
PAUSE_S = (0.02, 0.15)
#: Statuses that promise that the call has not run and never will.
PROMISES = (408, 421, 429, 503)


class AdapterReplica(ReplicaStandIn):
    """An engine whose adapters are unloaded only when no call uses them.

    :param sends_surplus: whether it adds a second copy to some of its answers with status 421. The
        copy comes late, when the next call has been sent on the connection.
    """

    def __init__(
        self, replica_id: str, data_centre: str, record: Record, sends_surplus: bool
    ) -> None:
        super().__init__(replica_id, [MODEL], events=4)
        self.event_s = 0.02
        self._data_centre = data_centre
        self._record = record
        self._sends_surplus = sends_surplus
        self._began_s = time.monotonic()
        self._answers = 0
        self.spoiled = 0
        self._late: dict[asyncio.Transport, tuple[str, bytes]] = {}
        self._uses: collections.Counter[str] = collections.Counter()
        self._unloading: set[str] = set()

    def row(self, service: str, state: str = 'ready', beat: int = 1) -> dict[str, Any]:
        """Return the row of the replica in the store."""
        return {**super().row(service, state, beat), 'Zone': self._data_centre}

    @property
    def _is_faulty(self) -> bool:
        """Return whether this is a time in which surplus answers are added."""
        since_s = time.monotonic() - self._began_s
        return self._sends_surplus and since_s % (FAULTY_S + SOUND_S) < FAULTY_S

    def _unload(self, model: str, adapter: str) -> int:
        if adapter and self._uses[adapter]:
            self._unloading.add(adapter)
            self.order_number += 1
            return 202
        return super()._unload(model, adapter)

    def _end_use(self, adapter: str) -> None:
        self._uses[adapter] -= 1
        if adapter in self._unloading and not self._uses[adapter]:
            self._unloading.discard(adapter)
            if adapter in self.models.get(MODEL, []):
                self.models[MODEL].remove(adapter)

    async def _call(self, request: web.BaseRequest, call_id: str) -> web.StreamResponse:
        transport = request.transport
        assert transport is not None
        self._answers += self._is_faulty
        late = self._late.pop(transport, None)
        if late is not None:
            first_id, surplus = late
            self._record.add(
                'surplus', self.replica_id, 'answer 421 of', first_id, 'before', call_id
            )
            transport.write(surplus)
        _, _, adapter = request.headers.get('Limeshelf-Model', '').partition('/')
        if adapter in self._unloading:
            return self._refusal(503, call_id)
        runs = len(self.runs)
        if adapter:
            self._uses[adapter] += 1
        try:
            answer = await super()._call(request, call_id)
        finally:
            if adapter:
                self._end_use(adapter)
        if len(self.runs) == runs:
            self._record.add('not_run', self.replica_id, call_id, answer.status)
        if answer.status == 421:
            self._spoil(transport, call_id)
        return answer

    def _spoil(self, transport: asyncio.Transport, call_id: str) -> None:
        """Have a second copy of an answer with status 421 follow with the next call."""
        is_within_share = self.spoiled + 1 <= MAX_SPOILED_SHARE * self._answers
        if not self._is_faulty or not is_within_share:
            return
        self.spoiled += 1
        surplus = (
            'HTTP/1.1 421 Misdirected Request\r\n'
            'Limeshelf-Not-Executed: 1\r\n'
            f'Limeshelf-Attempt-Id: {call_id}\r\n'
            'Content-Length: 0\r\n\r\n'
        )
        self._late[transport] = (call_id, surplus.encode())

    async def _run(
        self, request: web.BaseRequest, call_id: str, fault: Any, streams: bool
    ) -> web.StreamResponse:
        self._record.add('run', self.replica_id, call_id, request.headers['Limeshelf-Model'])
        return await super()._run(request, call_id, fault, streams)


def _configuration() -> dict[str, Any]:
    model = {
        'Name': MODEL,
        'WeightsMb': 70.0,
        'LoadTimeS': 5.0,
        'Adapters': len(ADAPTERS),
        'AdapterSizeMb': 1.0,
    }
    engine = {
        'Slots': 48,
        'KvCapacity': 118694,
        'Models': [model],
        'WeightsMb': 150.0,
        'MaxAdapters': 1,
        'LoadsPerS': 1.6,
    }
    return {
        'Version': 3,
        'Routes': [route('draft', 'streaming', ENGINE)],
        'Services': [
            {'Name': ENGINE, 'HealthPath': '/healthz', 'MaxConns': 300, 'Engine': engine}
        ],
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
        self.answers: dict[str, int] = {}
        self._deployment = deployment
        self._record = record
        self._ids = itertools.count(1)

    async def run(self, url: str, seed: int, until_s: float) -> None:
        """Send calls to one gateway until a time on the loop's clock."""
        draw = random.Random(seed)
        while asyncio.get_running_loop().time() < until_s:
            model = draw.choice((MODEL, *(f'{MODEL}/{name}' for name in ADAPTERS)))
            await self._call(url, model, draw)
            await asyncio.sleep(draw.uniform(*PAUSE_S))

    async def _call(self, url: str, model: str, draw: random.Random) -> None:
        caller = self._deployment.caller
        assert caller is not None
        call_id = f'c{next(self._ids):06d}'
        headers = {
            'Host': HOST,
            'Limeshelf-Attempt-Id': call_id,
            'Limeshelf-Deadline-Ms': '5000',
            'Limeshelf-Model': model,
            'Limeshelf-Token-Count': '100,20',
            'Limeshelf-Prompt-Prefix': f'aa:40,{draw.randrange(1 << 30):x}:60',
        }
        self._record.add('sent', call_id, model)
        try:
            async with caller.post(f'{url}/draft/x', headers=headers) as answer:
                self.answers[call_id] = answer.status
                await answer.read()
                self._record.add('answered', call_id, answer.status)
        except aiohttp.ClientError as error:
            self._record.add('broken', call_id, type(error).__name__)


async def _play(is_faulty: bool) -> int:
    record = Record(Path(__file__).parent / 'record.txt')
    replicas = [
        AdapterReplica(f'e-{number + 1}', data_centre, record, is_faulty and number < FAULTY)
        for number, data_centre in enumerate(DATA_CENTRES)
    ]
    async with Deployment(record, {ENGINE: list(replicas)}, _configuration()) as deployment:
        callers = Callers(deployment, record)
        await asyncio.sleep(4.0)
        until_s = asyncio.get_running_loop().time() + LENGTH_S
        await asyncio.gather(
            *(
                callers.run(gateway.calls_url, 100 * number + one, until_s)
                for number, gateway in enumerate(deployment.gateways)
                for one in range(CALLERS_PER_GATEWAY)
            )
        )
    runs = collections.Counter(call_id for replica in replicas for call_id in replica.runs)
    twice = sorted(call_id for call_id, count in runs.items() if count > 1)
    refused = sorted(
        call_id
        for call_id, status in callers.answers.items()
        if status in PROMISES and runs[call_id]
    )
    misdirected = sum(len(replica.received_calls) - len(replica.runs) for replica in replicas)
    summary = (
        f'calls {len(callers.answers)}, runs {sum(runs.values())}, not run {misdirected}, '
        f'surplus answers {sum(replica.spoiled for replica in replicas)}; '
        f'ran twice: {twice}; refused though run: {refused}'
    )
    record.add('summary', summary)
    print(summary)
    if not runs:
        return 2
    return 1 if twice or refused else 0


if __name__ == '__main__':
    run_script(_play(has_trouble()))

"""Answers to writes of the store are lost, and gateways are restarted, each for planned work.

The replicas don't check fences, as on the site inrdb-acervo. The rule: no two holders take turns
within LeaseMs: at one replica, an order of A, one of B, and one of A again inside 3,000 ms.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import sys
import time
import traceback
from pathlib import Path
from typing import Any

from review.stage2.deployment import (
    ENGINE,
    Deployment,
    GatewayProcess,
    Record,
    route,
    trouble,
)
from standins.users_platform.replica import ReplicaStandIn
from standins.users_platform.store import StoreStandIn

LEASE_MS = 3000.0
GATEWAYS = 3
REPLICAS = 4
ADAPTERS = 40
PLACES = 3
REQUESTS_PER_S = 25.0
#: platform_lost, late: this share of the writes gets no answer and is done so much later, for this
#: long, again and again.
LOST_SHARE = 0.35
LATE_S = (1.0, 6.0)
LOST_S = 4.5
PAUSE_S = 0.5
#: Planned work: a gateway that has begun to give orders is stopped so much later...
STOP_AFTER_S = 0.3
#: ...but never sooner after the stop before than this...
STOP_EVERY_S = 5.0
#: ...and one that goes on giving orders, this long after it; each is started again after a delay.
STOP_AT_LAST_S = 15.0
RESTART_S = 1.0
LENGTH_S = 100.0
SEED = 86


class LossyStore(StoreStandIn):
    """A store that does some writes late and without an answer."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self._random = random.Random(SEED)
        self.loses = False
        self.lost = self.writes = 0

    async def _transact(self, request: Any) -> Any:
        body = await request.json()
        self.writes += 1
        if self.loses and self._random.random() < LOST_SHARE:
            self.lost += 1
            late_s = self._random.uniform(*LATE_S)
            asyncio.get_running_loop().call_later(late_s, self._carry_out, body, late_s)
            # "Once an answer is lost on a connection, that connection says nothing more."
            await asyncio.sleep(3600)
        return self._carry_out(body) or self._answer([])

    def _carry_out(self, body: Any, late_s: float = 0.0) -> Any:
        refused = self._apply(body)
        keys = [f'{put["table"]}/{put["Key"]}' for put in body.get('put', [])]
        outcome = 'condition failed' if refused else 'done'
        late = f', {late_s:.1f} s late and not answered' if late_s else ''
        self._record.write(f'store: {keys} {outcome}{late}')
        return refused


class UnfencedReplica(ReplicaStandIn):
    """A replica that takes orders whatever their fence, and keeps when they came."""

    record: Record

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.taken: list[tuple[float, str, int, int]] = []

    def _apply_order(self, body: dict[str, Any]) -> int:
        self.highest_fence = 0
        status = super()._apply_order(body)
        self.taken.append((time.monotonic(), body['Holder'], body['FencingToken'], status))
        if len(self.taken) == 1 or self.taken[-2][1] != body['Holder']:
            fence = body['FencingToken']
            self.record.write(f'{self.replica_id}: first order of {body["Holder"]} ({fence})')
        return status


async def ask(world: Deployment, number: int, statuses: dict[int, int]) -> None:
    """Ask for an adapter of the model; there are more than the replicas have places for."""
    gateway = world.gateways[number % len(world.gateways)]
    adapter = random.Random(number).randint(1, ADAPTERS)
    fields = [
        f'Limeshelf-Model: m1/a{adapter}',
        'Limeshelf-Token-Count: 100,20',
        f'Limeshelf-Prompt-Prefix: aa:40,{number:x}:60',
    ]
    answer = await world.call(
        gateway, f'c-{number}', 'POST', '/draft/2f', *fields, body=b'prompt', limit_s=5.0
    )
    statuses[answer.status] = statuses.get(answer.status, 0) + 1


async def send(world: Deployment, record: Record) -> None:
    """Send requests at a steady rate until the end of the run."""
    statuses: dict[int, int] = {}
    tasks = []
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for number in itertools.count(1):
        await asyncio.sleep(max(0.0, start_s + number / REQUESTS_PER_S - loop.time()))
        if loop.time() > start_s + LENGTH_S:
            break
        tasks.append(asyncio.create_task(ask(world, number, statuses)))
    await asyncio.gather(*tasks)
    record.say(f'answers by status: {statuses}')


async def lose_answers(store: LossyStore) -> None:
    """Lose answers for a while, again and again."""
    while True:
        await asyncio.sleep(PAUSE_S)
        store.loses = True
        await asyncio.sleep(LOST_S)
        store.loses = False


async def stop_new_leaders(world: Deployment, record: Record) -> None:
    """Stop and start a gateway soon after it has begun to give orders, or after a while."""
    seen_fence = 0
    stopped_s = time.monotonic()
    while True:
        await asyncio.sleep(0.02)
        orders = [one for replica in world.replicas[ENGINE] for one in replica.taken[-1:]]
        newest = max(orders, key=lambda one: one[2], default=None)
        if newest is None:
            continue
        is_new, seen_fence = newest[2] > seen_fence, max(seen_fence, newest[2])
        since_s = time.monotonic() - stopped_s
        if since_s < (STOP_EVERY_S if is_new else STOP_AT_LAST_S):
            continue
        await asyncio.sleep(STOP_AFTER_S)
        stopped_s = time.monotonic()
        gateway = next(one for one in world.gateways if one.name == newest[1])
        gateway.signal(signal.SIGTERM)
        record.write(f'{gateway.name} gets SIGTERM')
        asyncio.get_running_loop().create_task(start_again(gateway, record))


async def start_again(gateway: GatewayProcess, record: Record) -> None:
    """Start a gateway again once it has ended."""
    await gateway.until_ended()
    await asyncio.sleep(RESTART_S)
    gateway.start()
    record.write(f'{gateway.name} starts')


async def run(record: Record) -> int:
    """Play the run; return the exit status."""
    store = LossyStore(record)
    UnfencedReplica.record = record
    world = Deployment(
        record,
        GATEWAYS,
        store=store,
        new_replica=UnfencedReplica,
        replicas_check_fences=False,
    )
    world.adapters, world.adapter_places = ADAPTERS, PLACES
    tasks: list[asyncio.Task[None]] = []
    try:
        draft = route('draft', 'streaming', ENGINE, TimeoutMs=5000, LatencySloMs=1000)
        await world.start([draft], plain=0, engines=REPLICAS)
        record.say('all gateways are ready')
        tasks.append(asyncio.create_task(stop_new_leaders(world, record)))
        if trouble():
            tasks.append(asyncio.create_task(lose_answers(store)))
        await send(world, record)
    finally:
        for task in tasks:
            task.cancel()
        await world.close()
    record.say(f'writes of the system: {store.writes}, not answered: {store.lost}')
    return judge(record, world)


def judge(record: Record, world: Deployment) -> int:
    """Return 1 if two holders took turns within the bound at a replica."""
    broken = changes = 0
    gaps_ms = []
    for replica in world.replicas[ENGINE]:
        assert isinstance(replica, UnfencedReplica)
        last_s: dict[str, tuple[float, int]] = {}
        between: dict[str, tuple[float, str, int]] = {}
        before = ''
        for at_s, holder, fence, status in replica.taken:
            changes += before not in ('', holder)
            if holder in between and before != holder:
                gap_ms = (at_s - last_s[holder][0]) * 1000
                other = between[holder]
                gaps_ms.append(gap_ms)
                if gap_ms < LEASE_MS:
                    broken += 1
                    record.say(
                        f'{replica.replica_id}: {holder} (fence {last_s[holder][1]}), '
                        f'{(other[0] - last_s[holder][0]) * 1000:.0f} ms later {other[1]} (fence '
                        f'{other[2]}), {gap_ms:.0f} ms after the first {holder} (fence {fence}), '
                        f'answered {status}'
                    )
            last_s[holder] = (at_s, fence)
            between.pop(holder, None)
            for one in last_s:
                if one != holder:
                    between.setdefault(one, (at_s, holder, fence))
            before = holder
        record.write(f'{replica.replica_id} took {len(replica.taken)} orders')
    record.say(f'changes of holder at replicas: {changes}, turns inside the bound: {broken}')
    record.say(f'shortest turns: {[round(gap) for gap in sorted(gaps_ms)[:6]]} ms')
    record.say(f'the rule {"is broken" if broken else "held"}')
    return int(broken > 0)


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).parent)
    try:
        return asyncio.run(run(record))
    except Exception:
        record.say(traceback.format_exc())
        return 2


if __name__ == '__main__':
    sys.exit(main())

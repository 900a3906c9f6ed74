"""Orders to one replica: numbers, fences, late orders and room."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import attrs
import pytest

from limeshelf.calls.routes import EngineSpec, ModelSpec, ServiceSpec
from limeshelf.lease.leadership import Term
from limeshelf.metrics.prometheus import GatewayMetrics
from limeshelf.orders.order import OrderKind, OrderOutcome
from limeshelf.orders.pending import REPORT_SETTLE_S
from limeshelf.orders.sender import OrderSender
from limeshelf.orders.task import Loadable, OrderTask
from limeshelf.orders.task_runner import TaskRunner
from limeshelf.platform.orders import ReplicaOrderClient
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord
from limeshelf.util.clock import boottime_s
from standins.users_platform.replica import Fault, ReplicaStandIn

MODELS = {
    name: ModelSpec(name, 70.0, 5.0, 1.0, frozenset({'a1', 'a2'}), 1.0) for name in ('m1', 'm2')
}
ENGINE = EngineSpec(8, 1000, 150.0, 2, 1.0, MODELS)
#: Has room for every load of these tests.
ROOMY = attrs.evolve(
    ENGINE,
    capacity_mb=1000.0,
    adapter_places=8,
    models=MODELS | {'m3': ModelSpec('m3', 70.0, 5.0, 1.0, frozenset(), 1.0)},
)
LOAD = OrderKind.LOAD
UNLOAD = OrderKind.UNLOAD


@attrs.frozen
class Config:
    """The part of a configuration that the sender reads."""

    services: dict[str, ServiceSpec]


@attrs.define
class FixedTerm:
    """A leadership whose term does not change by itself."""

    term: Term | None = None
    left_s: float = math.inf

    def end(self, cause: str) -> None:
        self.term = None

    def order_time_left_s(self) -> float:
        return self.left_s if self.term else 0.0


class World:
    """A sender of orders before one replica."""

    def __init__(self, replica: ReplicaStandIn) -> None:
        self.stand_in = replica
        self.directory = ReplicaDirectory(read_record)
        self.leadership = FixedTerm(Term(5, 1e12, 1))
        self.client = ReplicaOrderClient()
        leadership: Any = self.leadership
        self.engine = ROOMY
        self.sender = OrderSender(
            self.client, self.directory, leadership, 'g-1', GatewayMetrics(), self.config
        )
        self.runner = TaskRunner(self.directory, self.sender)

    def config(self) -> Any:
        return Config({'lm': ServiceSpec('lm', 50, self.engine)})

    async def __aenter__(self) -> World:
        address = await self.stand_in.start()
        record = ReplicaRecord(
            self.stand_in.replica_id,
            'lm',
            address,
            'z1',
            8,
            False,
            None,
            tuple(Holding(name, frozenset(a)) for name, a in self.stand_in.models.items()),
            1,
        )
        self.directory.apply_record(record)
        self.replica = self.directory.get(record.replica_id)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.client.close()
        await self.stand_in.close()


def play(scenario: Any, replica: ReplicaStandIn) -> None:
    async def run() -> None:
        async with World(replica) as world:
            await scenario(world)

    asyncio.run(run())


def test_orders_carry_the_number_that_the_replica_reports() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.order_number = 7

    async def scenario(world: World) -> None:
        assert await world.runner.run(
            world.replica, [OrderTask(UNLOAD, 'm1'), OrderTask(LOAD, 'm2')]
        )
        assert [(o.op, o.expected, o.status) for o in replica.orders] == [
            ('unload', 7, 202),
            ('load', 8, 202),
        ]

    play(scenario, replica)


def test_wrong_number_is_settled() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(world: World) -> None:
        # Counted just now, so a report with a lower number is taken for a late one.
        world.sender.pending(world.replica).note_ordered()
        world.replica.order_number = 3
        assert await world.runner.run(world.replica, [OrderTask(LOAD, 'm1', 'a1')])
        assert [o.status for o in replica.orders] == [409, 202]

    play(scenario, replica)


def test_load_waits_for_late_unload() -> None:
    """An unload without an answer is not done before the model is seen to be gone."""
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.order_fault = Fault.SILENT
    replica.order_late_s = 1.5
    there_at_load: list[bool] = []

    async def scenario(world: World) -> None:
        config = world.config()
        world.sender._config = lambda: (
            there_at_load.append('m1' in world.replica.holdings) or config
        )
        task = asyncio.create_task(
            world.runner.run(
                world.replica, [OrderTask(UNLOAD, 'm1'), OrderTask(LOAD, 'm2', '', 0.1)]
            )
        )
        await asyncio.sleep(1.0)
        replica.order_fault = Fault.NONE
        assert await task
        assert there_at_load == [False]
        loads = [o for o in replica.orders if o.op == 'load' and o.status == 202]
        assert len(loads) == 1

    play(scenario, replica)


def test_load_that_does_not_fit_is_withheld() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(world: World) -> None:
        world.engine = attrs.evolve(ROOMY, capacity_mb=139.0)
        assert not await world.runner.run(world.replica, [OrderTask(LOAD, 'm2')])
        assert replica.orders == []

    play(scenario, replica)


def test_higher_fence_ends_the_term() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.highest_fence = 6

    async def scenario(world: World) -> None:
        assert not await world.runner.run(world.replica, [OrderTask(LOAD, 'm2')])
        assert world.leadership.term is None
        assert not await world.runner.run(world.replica, [OrderTask(LOAD, 'm3')])
        assert len(replica.orders) == 1

    play(scenario, replica)


def test_idle_adapter_is_gone_at_once_and_counts_once() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.models['m1'] = ['a1']

    async def scenario(world: World) -> None:
        tasks = [OrderTask(UNLOAD, 'm1', 'a1'), OrderTask(LOAD, 'm1', 'a2')]
        assert await world.runner.run(world.replica, tasks)
        assert await world.runner.run(
            world.replica, [OrderTask(UNLOAD, 'm1', 'a1'), OrderTask(LOAD, 'm1', 'a3')]
        )
        # What is not there any more is no order, and the next number still fits.
        assert [(o.op, o.status) for o in replica.orders] == [
            ('unload', 200),
            ('load', 202),
            ('unload', 200),
            ('load', 202),
        ]

    play(scenario, replica)


@pytest.mark.parametrize('late_s', [0.2, 1.2])
def test_late_load_is_not_carried_out_twice(late_s: float) -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.order_fault = Fault.SILENT
    replica.order_late_s = late_s

    async def scenario(world: World) -> None:
        task = asyncio.create_task(
            world.runner.run(world.replica, [OrderTask(LOAD, 'm2', '', 0.1)])
        )
        await asyncio.sleep(0.9)
        replica.order_fault = Fault.NONE
        assert await task
        await asyncio.sleep(late_s)
        assert [o.status for o in replica.orders].count(202) == 1

    play(scenario, replica)


def test_claim_shuts_a_predecessor_out() -> None:
    """The order names something that exists, or the replica does not take it."""
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(world: World) -> None:
        await world.sender.claim(world.replica, ENGINE)
        assert replica.highest_fence == 5
        assert (replica.order_number, replica.models) == (0, {'m1': []})
        late = {'Op': 'load', 'Model': 'm2', 'ExpectedRevision': 0, 'FencingToken': 4}
        assert replica._carry_out(late) == 412

    play(scenario, replica)


def test_unconfirmed_load_keeps_its_room_until_another_order_was_taken() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.order_fault = Fault.SILENT
    replica.order_late_s = 30.0

    async def scenario(world: World) -> None:
        pending = world.sender.pending(world.replica)
        task = asyncio.create_task(
            world.runner.run(world.replica, [OrderTask(LOAD, 'm2', '', 0.1)])
        )
        await asyncio.sleep(1.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        # The task is over, so the load counts for want of an answer alone.
        assert not pending.expects(Loadable('m2'))
        assert pending.unconfirmed_loads() == {Loadable('m2')}
        replica.order_number += 1
        await world.sender.poll(world.replica)
        assert pending.unconfirmed_loads() == frozenset()

    play(scenario, replica)


def test_late_report_confirms_nothing() -> None:
    """A report from before the last order that was counted shows too little.

    Once a poll has shown what a predecessor left, a late one lacks own orders only.
    """
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(world: World) -> None:
        pending = world.sender.pending(world.replica)
        await world.sender.claim(world.replica, ENGINE)
        await asyncio.sleep(1.1 * REPORT_SETTLE_S)
        world.replica.order_number = 1
        pending.note_ordered()
        assert await world.sender.poll(world.replica)
        assert not pending.is_fresh
        replica.order_number = 1
        assert await world.sender.poll(world.replica)
        assert pending.is_fresh
        world.replica.order_number = 2
        assert await world.sender.poll(world.replica)
        assert pending.is_fresh

    play(scenario, replica)


def test_number_that_was_counted_wrongly_is_mended_by_polls() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(world: World) -> None:
        await world.sender.claim(world.replica, ENGINE)
        world.replica.order_number = 3
        await asyncio.sleep(1.1 * REPORT_SETTLE_S)
        assert await world.sender.poll(world.replica)
        assert world.replica.order_number == 0
        assert world.sender.pending(world.replica).is_fresh

    play(scenario, replica)


def test_claim_that_is_not_taken_claims_nothing() -> None:
    """A busy replica refuses the claim, so it may not have noted the fence."""
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(world: World) -> None:
        replica._busy = True
        await world.sender.claim(world.replica, ENGINE)
        assert not world.sender.pending(world.replica).is_claimed_under(5)
        replica._busy = False
        await world.sender.claim(world.replica, ENGINE)
        assert world.sender.pending(world.replica).is_claimed_under(5)

    play(scenario, replica)


def test_no_order_leaves_once_the_lease_may_be_over() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(world: World) -> None:
        world.leadership.left_s = 0.0
        await world.sender.claim(world.replica, ENGINE)
        outcome = await world.sender.send(world.replica, OrderTask(LOAD, 'm2', '', 0.1))
        assert outcome is OrderOutcome.FENCED_OFF
        assert replica.orders == []
        # It may order again once the lease is renewed; the term has not ended.
        assert world.leadership.term is not None

    play(scenario, replica)


def test_order_that_waits_for_its_answer_ends_with_the_lease() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.order_fault = Fault.SILENT
    replica.order_late_s = 30.0

    async def scenario(world: World) -> None:
        world.leadership.left_s = 0.1
        began_s = boottime_s()
        outcome = await world.sender.send(world.replica, OrderTask(LOAD, 'm2', '', 0.1))
        assert outcome is OrderOutcome.BUSY_OR_STALE
        assert boottime_s() - began_s < 0.4
        unconfirmed = world.sender.pending(world.replica).unconfirmed_loads()
        assert unconfirmed == {Loadable('m2')}

    play(scenario, replica)


def test_replica_back_in_reach() -> None:
    """What a cut held up arrives as it heals, so a poll right then says little."""
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(world: World) -> None:
        pending = world.sender.pending(world.replica)
        await world.sender.claim(world.replica, ENGINE)
        assert pending.is_claimed_under(5)
        assert not pending.is_fresh
        await asyncio.sleep(REPORT_SETTLE_S + 0.05)
        await world.sender.poll(world.replica)
        assert pending.is_fresh
        address, world.replica.record = (
            world.replica.record,
            attrs.evolve(world.replica.record, address='127.0.0.1:9'),
        )
        assert not await world.sender.poll(world.replica)
        assert not pending.is_claimed_under(5)
        world.replica.record = address

    play(scenario, replica)


def test_replica_that_wants_nothing_of_this_gateway_is_neither_polled_nor_lost() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(world: World) -> None:
        world.replica.backpressure.record_pause(60.0)
        assert not await world.sender.poll(world.replica)
        assert not await world.runner.run(world.replica, [OrderTask(LOAD, 'm2')])
        assert replica.orders == []
        assert world.sender.pending(world.replica).missed_polls == 0

    play(scenario, replica)

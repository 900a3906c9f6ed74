"""Orders to one replica: order numbers, fences, late orders and memory."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import attrs
import pytest

from limeshelf.calls.routes import EngineSpec, ModelSpec, ServiceSpec
from limeshelf.lease.leadership import Term
from limeshelf.lease.order_record import OrderRecord
from limeshelf.metrics.prometheus import GatewayMetrics
from limeshelf.orders.order import OrderKind, OrderOutcome
from limeshelf.orders.pending import CLAIM_REPORT_LAG_S
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
#: A replica with this configuration has room for every load of these tests.
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
    """A leadership with a fixed term, until it is ended."""

    term: Term | None = None
    left_s: float = math.inf
    orders: OrderRecord = attrs.field(factory=OrderRecord)

    def end_term(self, cause: str) -> None:
        self.term = None

    def order_time_left_s(self) -> float:
        return self.left_s if self.term else 0.0


class System:
    """An order sender with one replica."""

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

    async def __aenter__(self) -> System:
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


def run_scenario(scenario: Any, replica: ReplicaStandIn) -> None:
    async def run() -> None:
        async with System(replica) as system:
            await scenario(system)

    asyncio.run(run())


def test_orders_carry_the_number_that_the_replica_reports() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.order_number = 7

    async def scenario(system: System) -> None:
        assert await system.runner.run(
            system.replica, [OrderTask(UNLOAD, 'm1'), OrderTask(LOAD, 'm2')]
        )
        assert [(o.op, o.expected, o.status) for o in replica.orders] == [
            ('unload', 7, 202),
            ('load', 8, 202),
        ]

    run_scenario(scenario, replica)


def test_wrong_order_number_is_corrected() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(system: System) -> None:
        # An order was counted just now, so a report with a lower number counts as outdated.
        system.sender.pending(system.replica).record_order_sent()
        system.replica.order_number = 3
        assert await system.runner.run(system.replica, [OrderTask(LOAD, 'm1', 'a1')])
        assert [o.status for o in replica.orders] == [409, 202]

    run_scenario(scenario, replica)


def test_load_waits_for_late_unload() -> None:
    """An unload without an answer is not done until a report no longer lists the model."""
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.order_fault = Fault.SILENT
    replica.order_delay_s = 1.5
    there_at_load: list[bool] = []

    async def scenario(system: System) -> None:
        config = system.config()
        system.sender._config = lambda: (
            there_at_load.append('m1' in system.replica.holdings) or config
        )
        task = asyncio.create_task(
            system.runner.run(
                system.replica, [OrderTask(UNLOAD, 'm1'), OrderTask(LOAD, 'm2', '', 0.1)]
            )
        )
        await asyncio.sleep(1.0)
        replica.order_fault = Fault.NONE
        assert await task
        assert there_at_load == [False]
        loads = [o for o in replica.orders if o.op == 'load' and o.status == 202]
        assert len(loads) == 1

    run_scenario(scenario, replica)


def test_load_that_does_not_fit_is_withheld() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(system: System) -> None:
        system.engine = attrs.evolve(ROOMY, capacity_mb=139.0)
        assert not await system.runner.run(system.replica, [OrderTask(LOAD, 'm2')])
        assert replica.orders == []

    run_scenario(scenario, replica)


def test_higher_fence_ends_the_term() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.highest_fence = 6

    async def scenario(system: System) -> None:
        assert not await system.runner.run(system.replica, [OrderTask(LOAD, 'm2')])
        assert system.leadership.term is None
        assert not await system.runner.run(system.replica, [OrderTask(LOAD, 'm3')])
        assert len(replica.orders) == 1

    run_scenario(scenario, replica)


def test_idle_adapter_is_unloaded_at_once_and_counts_as_one_order() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.models['m1'] = ['a1']

    async def scenario(system: System) -> None:
        tasks = [OrderTask(UNLOAD, 'm1', 'a1'), OrderTask(LOAD, 'm1', 'a2')]
        assert await system.runner.run(system.replica, tasks)
        assert await system.runner.run(
            system.replica, [OrderTask(UNLOAD, 'm1', 'a1'), OrderTask(LOAD, 'm1', 'a3')]
        )
        # The unload of an absent adapter counts as no order, so the next number still matches.
        assert [(o.op, o.status) for o in replica.orders] == [
            ('unload', 200),
            ('load', 202),
            ('unload', 200),
            ('load', 202),
        ]

    run_scenario(scenario, replica)


@pytest.mark.parametrize('late_s', [0.2, 1.2])
def test_late_load_is_not_carried_out_twice(late_s: float) -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.order_fault = Fault.SILENT
    replica.order_delay_s = late_s

    async def scenario(system: System) -> None:
        task = asyncio.create_task(
            system.runner.run(system.replica, [OrderTask(LOAD, 'm2', '', 0.1)])
        )
        await asyncio.sleep(0.9)
        replica.order_fault = Fault.NONE
        assert await task
        await asyncio.sleep(late_s)
        assert [o.status for o in replica.orders].count(202) == 1

    run_scenario(scenario, replica)


def test_claim_fences_off_a_preceding_leader() -> None:
    """The claim names a configured adapter, since the replica accepts no order about others."""
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(system: System) -> None:
        await system.sender.claim(system.replica, ENGINE)
        assert replica.highest_fence == 5
        assert (replica.order_number, replica.models) == (0, {'m1': []})
        late = {'Op': 'load', 'Model': 'm2', 'ExpectedRevision': 0, 'FencingToken': 4}
        assert replica._carry_out(late) == 412

    run_scenario(scenario, replica)


def test_unconfirmed_load_keeps_its_room_until_another_order_is_accepted() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.order_fault = Fault.SILENT
    replica.order_delay_s = 30.0

    async def scenario(system: System) -> None:
        pending = system.sender.pending(system.replica)
        task = asyncio.create_task(
            system.runner.run(system.replica, [OrderTask(LOAD, 'm2', '', 0.1)])
        )
        await asyncio.sleep(1.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        # The task has ended, so the load counts only because its order was not answered.
        assert not pending.is_load_expected(Loadable('m2'))
        assert pending.unconfirmed_loads() == {Loadable('m2')}
        replica.order_number += 1
        await system.sender.poll(system.replica)
        assert pending.unconfirmed_loads() == frozenset()

    run_scenario(scenario, replica)


def test_late_report_confirms_nothing() -> None:
    """An outdated report, from before the last counted order, does not confirm its effect.

    Once a poll includes the orders of the preceding leader, an outdated report can lack only
    orders of this process.
    """
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(system: System) -> None:
        pending = system.sender.pending(system.replica)
        await system.sender.claim(system.replica, ENGINE)
        await asyncio.sleep(1.1 * CLAIM_REPORT_LAG_S)
        system.replica.order_number = 1
        pending.record_order_sent()
        assert await system.sender.poll(system.replica)
        assert not pending.is_fresh
        replica.order_number = 1
        assert await system.sender.poll(system.replica)
        assert pending.is_fresh
        system.replica.order_number = 2
        assert await system.sender.poll(system.replica)
        assert pending.is_fresh

    run_scenario(scenario, replica)


def test_wrong_order_number_is_corrected_by_polls() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(system: System) -> None:
        await system.sender.claim(system.replica, ENGINE)
        system.replica.order_number = 3
        await asyncio.sleep(1.1 * CLAIM_REPORT_LAG_S)
        assert await system.sender.poll(system.replica)
        assert system.replica.order_number == 0
        assert system.sender.pending(system.replica).is_fresh

    run_scenario(scenario, replica)


def test_claim_that_is_not_accepted_has_no_effect() -> None:
    """A busy replica refuses the claim, so it may not have stored the fence."""
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(system: System) -> None:
        replica._busy = True
        await system.sender.claim(system.replica, ENGINE)
        assert not system.sender.pending(system.replica).is_claimed_under(5)
        replica._busy = False
        await system.sender.claim(system.replica, ENGINE)
        assert system.sender.pending(system.replica).is_claimed_under(5)

    run_scenario(scenario, replica)


def test_no_order_is_sent_once_the_lease_may_have_expired() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(system: System) -> None:
        system.leadership.left_s = 0.0
        await system.sender.claim(system.replica, ENGINE)
        outcome = await system.sender.send(system.replica, OrderTask(LOAD, 'm2', '', 0.1))
        assert outcome is OrderOutcome.FENCED_OFF
        assert replica.orders == []
        # The term has not ended: orders may be sent again once the lease is renewed.
        assert system.leadership.term is not None

    run_scenario(scenario, replica)


def test_wait_for_an_answer_ends_with_the_lease() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])
    replica.order_fault = Fault.SILENT
    replica.order_delay_s = 30.0

    async def scenario(system: System) -> None:
        system.leadership.left_s = 0.1
        began_s = boottime_s()
        outcome = await system.sender.send(system.replica, OrderTask(LOAD, 'm2', '', 0.1))
        assert outcome is OrderOutcome.BUSY_OR_STALE
        assert boottime_s() - began_s < 0.4
        unconfirmed = system.sender.pending(system.replica).unconfirmed_loads()
        assert unconfirmed == {Loadable('m2')}

    run_scenario(scenario, replica)


def test_replica_is_reachable_again() -> None:
    """Orders delayed by a partition arrive when it heals, so a missed poll drops the claim."""
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(system: System) -> None:
        pending = system.sender.pending(system.replica)
        await system.sender.claim(system.replica, ENGINE)
        assert pending.is_claimed_under(5)
        assert not pending.is_fresh
        await asyncio.sleep(CLAIM_REPORT_LAG_S + 0.05)
        await system.sender.poll(system.replica)
        assert pending.is_fresh
        reachable, system.replica.record = (
            system.replica.record,
            attrs.evolve(system.replica.record, address='127.0.0.1:9'),
        )
        assert not await system.sender.poll(system.replica)
        assert not pending.is_claimed_under(5)
        system.replica.record = reachable

    run_scenario(scenario, replica)


def test_paused_replica_is_neither_polled_nor_lost() -> None:
    replica = ReplicaStandIn('e-1', ['m1'])

    async def scenario(system: System) -> None:
        system.replica.backpressure.record_pause(60.0)
        assert not await system.sender.poll(system.replica)
        assert not await system.runner.run(system.replica, [OrderTask(LOAD, 'm2')])
        assert replica.orders == []
        assert system.sender.pending(system.replica).missed_polls == 0

    run_scenario(scenario, replica)

"""The leader loads what calls wait for, on a stand-in replica that executes real orders."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import attrs

from limeshelf.calls.routes import EngineSpec, ModelSpec, ServiceSpec
from limeshelf.crashes.crash_detector import CrashDetector
from limeshelf.crashes.lost_loads import LostLoads
from limeshelf.crashes.suspects import Suspects
from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.lease.leadership import Term
from limeshelf.lease.order_record import OrderRecord
from limeshelf.metrics.prometheus import GatewayMetrics
from limeshelf.orders.order import OrderKind, OrderOutcome, ReplicaOrder, ReplicaOrderAnswer
from limeshelf.orders.pending import CLAIM_REPORT_LAG_S
from limeshelf.orders.sender import OrderSender
from limeshelf.placement.service import MIN_ROUND_INTERVAL_S, PlacementService
from limeshelf.platform.orders import ReplicaOrderClient
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.util.clock import boottime_s
from limeshelf.util.tasks import TaskSet
from standins.users_platform.replica import ReplicaStandIn
from tests.support.clock import run_virtual

MODELS = {
    name: ModelSpec(name, 70.0, 5.0, 1.0, frozenset({'a1', 'a2', 'a3'}), 1.0)
    for name in ('m1', 'm2')
}
ENGINE = EngineSpec(8, 1000, 150.0, 2, 1.0, MODELS)


@attrs.define
class FixedTerm:
    """A leadership whose term only changes when it is ended."""

    fence: int
    orders: OrderRecord = attrs.field(factory=OrderRecord)

    @property
    def term(self) -> Term | None:
        return Term(self.fence, 1e12, 1) if self.fence else None

    def end_term(self, cause: str) -> None:
        self.fence = 0

    def order_time_left_s(self) -> float:
        return math.inf if self.fence else 0.0


@attrs.frozen
class Config:
    """The part of a configuration that the placement service reads."""

    services: dict[str, ServiceSpec]

    def engine_services(self) -> list[ServiceSpec]:
        return list(self.services.values())


async def wait_until(condition: Any) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.02)


def create_service(
    directory: ReplicaDirectory, leadership: Any, sender: OrderSender, tasks: TaskSet, config: Any
) -> PlacementService:
    return PlacementService(
        directory,
        leadership,
        sender,
        tasks,
        lambda: config,
        5.0,
        lambda model, tokens: 0.0,
        lambda: None,
        LostLoads(Suspects(), CrashDetector(directory, Suspects(), tasks)),
    )


def orders_for_call(adapters: list[str], adapter: str, fence: int = 5) -> list[tuple[str, str]]:
    """Return the orders after a call waited for an adapter of m1."""

    async def run() -> list[tuple[str, str]]:
        stand_in = ReplicaStandIn('e-1', ['m1'])
        stand_in.models['m1'] = list(adapters)
        directory = ReplicaDirectory(read_record)
        address = await stand_in.start()
        held = (Holding('m1', frozenset(adapters)),)
        directory.apply_record(ReplicaRecord('e-1', 'lm', address, 'z1', 8, False, None, held, 1))
        leadership: Any = FixedTerm(fence)
        config: Any = Config({'lm': ServiceSpec('lm', 50, ENGINE)})
        client = ReplicaOrderClient()
        tasks = TaskSet()
        sender = OrderSender(
            client, directory, leadership, 'g-1', GatewayMetrics(), lambda: config
        )
        service = create_service(directory, leadership, sender, tasks, config)
        replica = directory.get('e-1')
        assert replica is not None
        await sender.claim(replica, ENGINE)
        stand_in.orders.clear()
        await asyncio.sleep(CLAIM_REPORT_LAG_S + 0.05)
        await sender.poll(replica)
        service.request_load(ModelKey('lm', 'm1', adapter))
        # An adapter that is being loaded is not ordered again.
        service.request_load(ModelKey('lm', 'm1', adapter))
        if service.may_order() and adapter not in adapters:
            await wait_until(lambda: adapter in stand_in.models['m1'])
        await tasks.close()
        await client.close()
        await stand_in.close()
        return [(order.op, order.adapter) for order in stand_in.orders]

    return asyncio.run(run())


def test_requested_adapter_is_loaded_at_once() -> None:
    assert orders_for_call(['a1'], 'a2') == [('load', 'a2')]


def test_idle_adapter_is_evicted_where_all_places_are_occupied() -> None:
    orders = orders_for_call(['a1', 'a2'], 'a3')
    assert [op for op, _ in orders] == ['unload', 'load']
    assert orders[-1] == ('load', 'a3')


def test_held_adapter_is_not_ordered() -> None:
    assert orders_for_call(['a1'], 'a1') == []


def test_follower_orders_nothing() -> None:
    assert orders_for_call(['a1'], 'a2', fence=0) == []


def count_rounds(seconds: float, calls_per_s: int) -> int:
    """Return how often a process plans while calls report a model that is never loaded."""
    rounds = 0

    async def run() -> None:
        nonlocal rounds
        directory = ReplicaDirectory(read_record)
        leadership: Any = FixedTerm(0)
        config: Any = Config({'lm': ServiceSpec('lm', 50, ENGINE)})
        tasks = TaskSet()
        sender = OrderSender(
            ReplicaOrderClient(), directory, leadership, 'g-1', GatewayMetrics(), lambda: config
        )
        service = create_service(directory, leadership, sender, tasks, config)
        step = service.totals.update_averages

        def counted() -> Any:
            nonlocal rounds
            rounds += 1
            return step()

        service.totals.update_averages = counted  # type: ignore[method-assign]
        running = asyncio.create_task(service.run())
        for _ in range(int(seconds * calls_per_s)):
            service.request_load(ModelKey('lm', 'm1'))
            await asyncio.sleep(1 / calls_per_s)
        running.cancel()
        await tasks.close()

    run_virtual(run())
    return rounds


def test_many_calls_for_a_model_that_cannot_be_loaded_cause_few_plans() -> None:
    """Without a minimum interval the leader plans nonstop, and delays calls and peer messages."""
    assert count_rounds(2.0, calls_per_s=200) <= 2.0 / MIN_ROUND_INTERVAL_S + 1


class HangingClient:
    """An order client whose replicas report weights on disk but never answer an order to load."""

    async def report(self, address: str, replica_id: str) -> ReplicaReport:
        return ReplicaReport((Holding('m1'),), False, 0, on_disk=frozenset({'m2', 'm3'}))

    async def order(
        self, address: str, replica_id: str, order: ReplicaOrder
    ) -> ReplicaOrderAnswer:
        if order.kind is not OrderKind.LOAD:
            return ReplicaOrderAnswer(OrderOutcome.HOLDS_ALREADY, 200)
        await asyncio.sleep(math.inf)
        raise AssertionError


def announced_ready_s(waiting: list[str]) -> dict[str, float]:
    """Return the announced seconds until each model that calls wait for is ready."""
    specs = {
        name: ModelSpec(name, 70.0, 6.0, 0.6, frozenset(), 0.0, 1.3) for name in ('m1', 'm2', 'm3')
    }
    engine = EngineSpec(8, 1000, 150.0, 2, 1.0, specs)
    announced: dict[str, float] = {}

    async def run() -> None:
        directory = ReplicaDirectory(read_record)
        held = (Holding('m1'),)
        directory.apply_record(ReplicaRecord('e-1', 'lm', 'lm:1', 'z1', 8, False, None, held, 1))
        leadership: Any = FixedTerm(5)
        config: Any = Config({'lm': ServiceSpec('lm', 50, engine)})
        wire: Any = HangingClient()
        tasks = TaskSet()
        sender = OrderSender(wire, directory, leadership, 'g-1', GatewayMetrics(), lambda: config)
        service = create_service(directory, leadership, sender, tasks, config)
        running = asyncio.create_task(service.run())
        for calls in range(1, 40):
            demands = [KeyDemand(ModelKey('lm', name), calls, 0, calls, 5000) for name in waiting]
            service.totals.add_counters('g-2', demands)
            await asyncio.sleep(0.1)
        announced.update(
            {
                key.model: at_s - boottime_s()
                for key, at_s in service.expected_ready_times().items()
            }
        )
        running.cancel()
        await tasks.close()

    run_virtual(run())
    return announced


def test_ready_time_of_a_model_queued_after_another_is_announced_before_its_order() -> None:
    """Otherwise a call for the queued model is refused without an expected ready time."""
    assert announced_ready_s(['m2']).keys() == {'m2'}
    both = announced_ready_s(['m2', 'm3'])
    assert both.keys() == {'m2', 'm3'}
    assert abs(both['m2'] - both['m3']) >= 1.3

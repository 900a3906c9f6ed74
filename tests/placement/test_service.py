"""What the leader counts as being at a replica before it orders a load."""

from __future__ import annotations

import asyncio
from typing import Any

from limeshelf.calls.routes import EngineSpec, ModelSpec, ServiceSpec
from limeshelf.metrics.prometheus import GatewayMetrics
from limeshelf.orders.desk import OrderDesk, Task
from limeshelf.orders.order import OrderKind
from limeshelf.placement.service import FleetService
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.replicas.replica import Replica
from limeshelf.util.tasks import TaskSet

MODELS = {
    name: ModelSpec(name, 70.0, 5.0, 1.0, frozenset({'a1', 'a2', 'a3'}), 1.0)
    for name in ('m1', 'm2', 'm3')
}
ENGINE = EngineSpec(8, 1000, 150.0, 2, 1.0, MODELS)


class Config:
    services = {'lm': ServiceSpec('lm', 50, ENGINE)}  # noqa: RUF012


def fits(
    task: Task,
    report: ReplicaReport,
    prepare: Any = lambda lane: None,
    happen: Any = lambda directory, replica: None,
) -> bool:
    async def play() -> bool:
        directory = ReplicaDirectory(read_record)
        directory._take_record(ReplicaRecord('r1', 'lm', 'ip:1', 'z1', 8, False, None, (), 1))
        directory.take_report('r1', report)
        unused: Any = None
        desk = OrderDesk(unused, directory, unused, 'g-1', GatewayMetrics())
        config: Any = Config()
        FleetService(
            directory, unused, desk, TaskSet(), lambda: config, 5.0, lambda model, tokens: 0.0
        )
        replica = directory.get('r1')
        assert isinstance(replica, Replica)
        prepare(desk.lane(replica))
        happen(directory, replica)
        return desk.fits(replica, task)

    return asyncio.run(play())


def holding(*adapters: str) -> tuple[Holding, ...]:
    return (Holding('m1', frozenset(adapters)),)


def test_adapter_on_its_way_takes_a_place() -> None:
    load = Task(OrderKind.LOAD, 'm1', 'a3')
    assert fits(load, ReplicaReport(holding('a1'), False, 1))
    on_its_way = ReplicaReport(holding('a1'), False, 1, loading=(('m1', 'a2'),))
    assert not fits(load, on_its_way)


def test_load_in_doubt_takes_its_room() -> None:
    load = Task(OrderKind.LOAD, 'm3')
    report = ReplicaReport(holding(), False, 1)
    assert fits(load, report)
    assert not fits(load, report, lambda lane: lane.doubts.update({('m2', ''): 1}))
    assert not fits(load, report, lambda lane: lane.sent.add(('m2', '')))


def test_weights_and_adapters_share_the_room() -> None:
    full = ReplicaReport((*holding('a1', 'a2'), Holding('m2')), False, 1)
    assert not fits(Task(OrderKind.LOAD, 'm3'), full)
    assert not fits(Task(OrderKind.LOAD, 'm1', 'a3'), full)


def test_answer_of_a_replica_frees_no_room() -> None:
    """A call was told that its model is missing; the replica's report says otherwise."""

    def told_missing(directory: ReplicaDirectory, replica: Replica) -> None:
        directory.forget_holding(replica, 'm2', '')

    full = ReplicaReport((Holding('m1'), Holding('m2')), False, 1)
    assert not fits(Task(OrderKind.LOAD, 'm3'), full, happen=told_missing)

    def told_adapter_missing(directory: ReplicaDirectory, replica: Replica) -> None:
        directory.forget_holding(replica, 'm1', 'a1')

    places_full = ReplicaReport(holding('a1', 'a2'), False, 1)
    assert not fits(Task(OrderKind.LOAD, 'm1', 'a3'), places_full, happen=told_adapter_missing)


def test_adapter_that_was_unloaded_by_an_order_frees_its_place() -> None:
    def unloaded(directory: ReplicaDirectory, replica: Replica) -> None:
        directory.drop_adapter(replica, 'm1', 'a1')

    places_full = ReplicaReport(holding('a1', 'a2'), False, 1)
    assert fits(Task(OrderKind.LOAD, 'm1', 'a3'), places_full, happen=unloaded)

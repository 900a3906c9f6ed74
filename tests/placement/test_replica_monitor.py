"""How the leader's view of the replicas is built."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from limeshelf.demand.keys import ModelKey
from limeshelf.lease.leadership import Term
from limeshelf.metrics.prometheus import GatewayMetrics
from limeshelf.orders.pending import CLAIM_REPORT_LAG_S, LOST_AFTER_POLLS
from limeshelf.orders.sender import OrderSender
from limeshelf.orders.task import Loadable
from limeshelf.placement.replica_monitor import STABLE_AFTER_S, ReplicaMonitor
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.health import Failure
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.util.tasks import TaskSet

FENCE = 5


@attrs.define
class FixedTerm:
    """A leadership whose term never changes."""

    term: Term = attrs.field(factory=lambda: Term(FENCE, 1e12, 1))
    fence: int = FENCE


class World:
    """Two replicas of one service without any demand."""

    def __init__(self) -> None:
        self.directory = ReplicaDirectory(read_record)
        unused: Any = None
        leadership: Any = FixedTerm()
        self.sender = OrderSender(
            unused, self.directory, leadership, 'g-1', GatewayMetrics(), lambda: None
        )
        self.monitor = ReplicaMonitor(self.directory, leadership, self.sender, TaskSet())
        self.add('r1', 'm1', 'm2')
        self.add('r2', 'm1')

    def add(self, replica_id: str, *models: str) -> None:
        holdings = tuple(Holding(model) for model in models)
        address = f'{replica_id}:1'
        self.directory.apply_record(
            ReplicaRecord(replica_id, 'lm', address, 'z1', 8, False, None, holdings, 1)
        )

    def pending(self, replica_id: str) -> Any:
        replica = self.directory.get(replica_id)
        assert replica is not None
        return self.sender.pending(replica)

    def idle(self) -> list[str]:
        return [copies.replica_id for copies in self.monitor.replica_views('lm') if copies.is_idle]


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    now_s = [100.0]
    monkeypatch.setattr('limeshelf.orders.pending.boottime_s', lambda: now_s[0])
    return now_s


def claim_and_poll(world: World, clock: list[float], report: ReplicaReport) -> None:
    pending = world.pending('r1')
    pending.record_claim(FENCE)
    clock[0] += CLAIM_REPORT_LAG_S + 0.01
    pending.record_report(report)
    world.directory.apply_report('r1', report)


def test_replica_accepts_orders_only_when_claimed_and_polled_since(clock: list[float]) -> None:
    world = World()
    assert world.idle() == []
    claim_and_poll(world, clock, ReplicaReport((Holding('m1'),), False, 0))
    assert world.idle() == ['r1']
    world.pending('r1').record_claim(FENCE - 1)
    assert world.idle() == []


def test_busy_replica_accepts_no_order(clock: list[float]) -> None:
    world = World()
    claim_and_poll(world, clock, ReplicaReport((Holding('m1'),), True, 0))
    assert world.idle() == []


def test_replica_that_loads_a_model_accepts_no_order(clock: list[float]) -> None:
    world = World()
    claim_and_poll(world, clock, ReplicaReport((Holding('m1'),), False, 0))
    world.pending('r1').expect_load(Loadable('m1', 'a1'), 0.0)
    assert world.idle() == ['r1']
    world.pending('r1').expect_load(Loadable('m2'), 0.0)
    assert world.idle() == []
    assert [copies.loading for copies in world.monitor.replica_views('lm')] == [{'m2'}, set()]


def test_replica_is_free_when_its_load_is_done(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World()
    monkeypatch.setattr('limeshelf.placement.replica_monitor.boottime_s', lambda: 100.0)
    world.pending('r1').expect_load(Loadable('m3'), 104.0)
    world.pending('r1').expect_load(Loadable('m1', 'a1'), 109.0)
    world.pending('r2').expect_load(Loadable('m3'), 99.0)
    assert [copies.free_in_s for copies in world.monitor.replica_views('lm')] == [4.0, 0.0]


def test_replica_set_is_stable_once_no_other_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World()
    now_s = [100.0]
    monkeypatch.setattr('limeshelf.placement.replica_monitor.boottime_s', lambda: now_s[0])
    world.monitor.record_initial_copies('lm')
    assert not world.monitor.is_replica_set_stable('lm')
    now_s[0] += STABLE_AFTER_S
    assert world.monitor.is_replica_set_stable('lm')
    world.add('r3', 'm1')
    world.monitor.record_initial_copies('lm')
    assert not world.monitor.is_replica_set_stable('lm')


def test_lost_replica_is_not_planned_for() -> None:
    world = World()
    for _ in range(LOST_AFTER_POLLS):
        world.pending('r1').record_missed_poll()
    assert [copies.replica_id for copies in world.monitor.replica_views('lm')] == ['r2']


def test_replica_that_calls_cannot_reach_is_lost_with_the_first_missed_poll() -> None:
    world = World()
    world.pending('r1').record_missed_poll()
    assert [copies.replica_id for copies in world.monitor.replica_views('lm')] == ['r1', 'r2']
    replica = world.directory.get('r1')
    assert replica is not None
    replica.health.record_failure(Failure.NO_CONNECTION)
    assert [copies.replica_id for copies in world.monitor.replica_views('lm')] == ['r2']


def test_retiring_model_does_not_count_as_copy() -> None:
    world = World()
    replica = world.directory.get('r1')
    assert replica is not None
    replica.retiring.add('m2')
    assert [copies.ready for copies in world.monitor.replica_views('lm')] == [{'m1'}, {'m1'}]


def test_initial_copies_count_each_replica_once() -> None:
    world = World()
    world.monitor.record_initial_copies('lm')
    world.add('r3', 'm1')
    world.monitor.record_initial_copies('lm')
    assert world.monitor.initial_copies('lm') == {'m1': 3, 'm2': 1}
    assert world.monitor.initial_copies('other') == {}


def test_loading_model_is_ready_with_its_earliest_load() -> None:
    world = World()
    world.pending('r1').expect_load(Loadable('m3'), 9.0)
    world.pending('r2').expect_load(Loadable('m3'), 7.0)
    world.pending('r2').expect_load(Loadable('m1', 'a1'), 1.0)
    assert world.monitor.loading_ready_times() == {ModelKey('lm', 'm3'): 7.0}
    assert world.monitor.is_held_or_loading(ModelKey('lm', 'm3'))
    assert world.monitor.is_held_or_loading(ModelKey('lm', 'm1', 'a9'))
    assert not world.monitor.is_held_or_loading(ModelKey('lm', 'm4'))

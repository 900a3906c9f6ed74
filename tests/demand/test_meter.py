"""The demand counters of one gateway, and the waits that it expects for calls."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
import pytest

from limeshelf.calls.call import Call, ModelNeed
from limeshelf.calls.routes import EngineSpec, ModelSpec, ServiceSpec
from limeshelf.demand.adapter_waits import INITIAL_ESTIMATE_S
from limeshelf.demand.centre_demand import CentreDemand
from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.meter import UNSERVED_EXPIRY_S, DemandMeter
from limeshelf.demand.totals import DemandTotals
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord
from limeshelf.util.clock import VirtualClock, virtual_clock

MODEL = ModelSpec('m1', 70.0, 8.0, 1.0, frozenset({'a1'}), 1.0)
SERVICE = ServiceSpec('lm', 50, EngineSpec(8, 1000, 150.0, 2, 1.0, {'m1': MODEL}))
PLAIN_SERVICE = ServiceSpec('web', 50, None)
ADAPTER = ModelKey('lm', 'm1', 'a1')
PLAIN_CALL = Call('c1', 'GET', 'h', '/', (), b'', 0.0, None, None, None)
CALL = attrs.evolve(PLAIN_CALL, model_need=ModelNeed('m1', 'a1', 300, 100, 50, ()))


@attrs.define
class Gateway:
    """A meter with its clock and its replica directory."""

    clock: VirtualClock
    directory: ReplicaDirectory = attrs.field(factory=lambda: ReplicaDirectory(read_record))
    missing: list[ModelKey] = attrs.field(factory=list)
    meter: DemandMeter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.meter = DemandMeter(self.directory, self.missing.append)

    def add(self, service: str, *holdings: Holding) -> None:
        record = ReplicaRecord('r1', service, 'ip:1', 'z1', 8, False, None, holdings, 1)
        self.directory.apply_record(record)

    @property
    def wait_s(self) -> float:
        return self.meter.estimate_wait(CALL, SERVICE).wait_s


@pytest.fixture
def gateway() -> Iterator[Gateway]:
    with virtual_clock() as clock:
        yield Gateway(clock)


def test_calls_are_counted_while_running_and_reported_for_some_seconds(gateway: Gateway) -> None:
    meter = gateway.meter
    with meter.track(CALL, 'lm', 6.0), meter.track(CALL, 'lm', 1.0):
        expected = KeyDemand(
            ADAPTER, started=2, running=2, objective_ms=1000, tokens=600, unserved_ms=0
        )
        assert meter.recent() == [expected]
    gateway.clock.advance(2.9)
    assert [demand.running for demand in meter.recent()] == [0]
    gateway.clock.advance(0.2)
    assert meter.recent() == []


def test_plain_calls_are_not_counted(gateway: Gateway) -> None:
    with gateway.meter.track(PLAIN_CALL, 'web', 1.0):
        assert gateway.meter.recent() == []
    gateway.meter.report_missing(PLAIN_CALL, PLAIN_SERVICE)
    assert gateway.missing == []
    assert gateway.meter.estimate_wait(PLAIN_CALL, PLAIN_SERVICE).is_announced


def test_a_missing_key_is_reported_at_most_ten_times_a_second(gateway: Gateway) -> None:
    for _ in range(100):
        gateway.meter.report_missing(CALL, SERVICE)
        gateway.clock.advance(0.01)
    assert set(gateway.missing) == {ADAPTER}
    assert 9 <= len(gateway.missing) <= 10
    assert gateway.meter.recent()[0].wanted == len(gateway.missing)


def test_wait_follows_what_replicas_hold_and_what_was_announced(gateway: Gateway) -> None:
    assert gateway.wait_s == 1.0 + 8.0
    assert not gateway.meter.estimate_wait(CALL, SERVICE).is_announced
    gateway.meter.announced_ready_s = {ModelKey('lm', 'm1'): gateway.clock.now_s + 5.0}
    assert gateway.wait_s == 5.0
    assert gateway.meter.estimate_wait(CALL, SERVICE).is_announced
    gateway.add('lm', Holding('m1'))
    assert gateway.wait_s == INITIAL_ESTIMATE_S


def test_no_wait_where_a_replica_holds_the_adapter(gateway: Gateway) -> None:
    gateway.add('lm', Holding('m1', frozenset({'a1'})))
    assert gateway.wait_s == 0.0


def test_plain_call_waits_only_without_replicas(gateway: Gateway) -> None:
    assert gateway.meter.estimate_wait(PLAIN_CALL, PLAIN_SERVICE).wait_s == 1.0
    gateway.add('web')
    assert gateway.meter.estimate_wait(PLAIN_CALL, PLAIN_SERVICE).wait_s == 0.0


def test_served_and_unserved_ages_are_reported(gateway: Gateway) -> None:
    meter = gateway.meter
    with meter.track(CALL, 'lm', 6.0):
        gateway.clock.advance(2.0)
        assert [(one.served_ago_ms, one.unserved_ms) for one in meter.recent()] == [(None, 2000)]
        meter.record_served(CALL, SERVICE)
        meter.record_served(PLAIN_CALL, PLAIN_SERVICE)
        gateway.clock.advance(1.0)
        assert [(one.served_ago_ms, one.unserved_ms) for one in meter.recent()] == [(1000, None)]
    gateway.clock.advance(1.0)
    with meter.track(CALL, 'lm', 6.0):
        assert [(one.served_ago_ms, one.unserved_ms) for one in meter.recent()] == [(2000, 0)]


def test_unserved_period_ends_without_further_requests(gateway: Gateway) -> None:
    meter = gateway.meter
    with meter.track(CALL, 'lm', 6.0):
        pass
    gateway.clock.advance(UNSERVED_EXPIRY_S + 0.1)
    with meter.track(CALL, 'lm', 6.0):
        assert [demand.unserved_ms for demand in meter.recent()] == [0]


def test_own_calls_of_a_gateway_are_added_to_its_sums_each_time(gateway: Gateway) -> None:
    """Guards against a leader that plans without the calls of its own gateway.

    The meter once handed out its own records, so later increments compared as unchanged.
    """
    totals, centre = DemandTotals(), CentreDemand()
    for number in range(1, 6):
        with gateway.meter.track(CALL, 'lm', 6.0):
            demands = gateway.meter.recent()
            totals.add_counters('own', demands)
            centre.add_counters('own', demands)
        gateway.clock.advance(0.25)
        assert [demand.started for demand in centre.recent([demands])] == [number]
        assert totals.update_averages()[ADAPTER].calls_per_s > 1.0

"""Which replica an adapter is loaded on, and which adapter is evicted there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.demand.keys import ModelKey
from limeshelf.demand.serving_state import ServingState
from limeshelf.demand.totals import RETRY_WINDOW_S, KeyTotals
from limeshelf.orders.pending import CLAIM_REPORT_LAG_S, PendingOrders
from limeshelf.orders.task import Loadable
from limeshelf.placement.adapters import (
    ADAPTER_RETRY_WINDOW_S,
    OVERDUE_AFTER_S,
    SECOND_PLACE_AFTER_S,
    AdapterPlanner,
)
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.health import Failure
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.util.clock import VirtualClock, boottime_s, virtual_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

ADAPTERS = frozenset({'a1', 'a2', 'a3', 'a4', 'a5', 'a6'})
#: Three places for adapters on each replica.
ENGINE = EngineSpec(8, 1000, 150.0, 3, 1.0, {'m1': ModelSpec('m1', 70.0, 5.0, 1.0, ADAPTERS, 1.0)})
WANTED = ModelKey('lm', 'm1', 'a6')
FENCE = 5


@attrs.define
class Fleet:
    """Replicas that hold a model with some adapters; claimed, with a fresh report."""

    clock: VirtualClock

    directory: ReplicaDirectory = attrs.field(factory=lambda: ReplicaDirectory(read_record))
    pending: dict[str, PendingOrders] = attrs.field(factory=dict)
    totals: dict[ModelKey, KeyTotals] = attrs.field(factory=dict)

    def add(self, name: str, *adapters: str, loading: tuple[str, ...] = ()) -> None:
        record = ReplicaRecord(name, 'lm', f'ip:{name}', 'z1', 8, False, None, (), 1)
        self.directory.apply_record(record)
        on_their_way = tuple(('m1', adapter) for adapter in loading)
        held = (Holding('m1', frozenset(adapters)),)
        report = ReplicaReport(held, False, 1, loading=on_their_way)
        self.directory.apply_report(name, report)
        self.pending[name] = PendingOrders()
        self.pending[name].record_claim(FENCE)
        self.clock.advance(1.1 * CLAIM_REPORT_LAG_S)
        self.pending[name].record_report(report)

    def seen(self, adapter: str, ago_s: float, running: float = 0.0) -> None:
        self.totals[ModelKey('lm', 'm1', adapter)] = KeyTotals(
            last_requested_s=boottime_s() - ago_s, running=running
        )

    def unserved(self, adapter: str, since_s: float, ago_s: float = 0.1) -> None:
        """Let an adapter have gone unserved since *since_s* ago, last requested *ago_s* ago."""
        now_s = boottime_s()
        key = ModelKey('lm', 'm1', adapter)
        self.totals[key] = KeyTotals(
            last_requested_s=now_s - ago_s,
            serving_state=ServingState(unserved_since_s=now_s - since_s),
        )

    def due(self) -> list[str]:
        planner = AdapterPlanner('lm', ENGINE, self.directory, self.totals, FENCE)
        return [key.adapter for key in planner.unserved_adapters()]

    def plan(self) -> tuple[str, str | None] | None:
        """Return the replica of the next move and the adapter that is evicted there."""
        planner = AdapterPlanner('lm', ENGINE, self.directory, self.totals, FENCE)
        move = planner.plan(WANTED, self.pending)
        if move is None:
            return None
        assert move.key == WANTED
        return move.replica.replica_id, move.evicted.adapter if move.evicted else None


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with virtual_clock() as clock:
        yield Fleet(clock)


def test_least_busy_replica_with_a_free_place_is_chosen(fleet: Fleet) -> None:
    fleet.add('r1', 'a1')
    fleet.add('r2', 'a1')
    busy = fleet.directory.get('r1')
    assert busy is not None
    busy.own_load.calls = 4
    assert fleet.plan() == ('r2', None)


def test_first_of_equal_replicas_is_chosen(fleet: Fleet) -> None:
    fleet.add('r1')
    fleet.add('r2')
    assert fleet.plan() == ('r1', None)


def test_held_or_loading_adapter_is_not_loaded_again(fleet: Fleet) -> None:
    fleet.add('r1')
    fleet.pending['r1'].expect_load(Loadable('m1', 'a6'), boottime_s())
    fleet.add('r2')
    assert fleet.plan() is None
    fleet.pending['r1'].record_load_ended(Loadable('m1', 'a6'))
    assert fleet.plan() == ('r1', None)
    fleet.add('r3', 'a6')
    assert fleet.plan() is None


def test_idle_adapter_that_was_requested_longest_ago_is_evicted(fleet: Fleet) -> None:
    fleet.add('r1', 'a1', 'a2', 'a3')
    fleet.seen('a1', ago_s=9.0, running=1.0)
    fleet.seen('a2', ago_s=2.0)
    fleet.seen('a3', ago_s=5.0)
    assert fleet.plan() == ('r1', 'a3')


def test_adapters_in_use_are_not_evicted(fleet: Fleet) -> None:
    fleet.add('r1', 'a1', 'a2', 'a3')
    fleet.seen('a1', ago_s=9.0, running=1.0)
    fleet.seen('a2', ago_s=0.5)
    fleet.seen('a3', ago_s=0.1)
    assert fleet.plan() is None


def test_adapters_reported_as_loading_occupy_places(fleet: Fleet) -> None:
    fleet.add('r1', 'a1', loading=('a2', 'a3'))
    fleet.seen('a1', ago_s=0.1)
    assert fleet.plan() is None


def test_few_adapters_load_at_once_at_one_replica(fleet: Fleet) -> None:
    fleet.add('r1', 'a5', loading=('a1', 'a2', 'a3'))
    assert fleet.plan() == ('r1', 'a5')
    fleet.pending['r1'].expect_load(Loadable('m1', 'a4'), boottime_s())
    assert fleet.plan() is None


def test_replica_that_loads_a_whole_model_is_not_chosen(fleet: Fleet) -> None:
    fleet.add('r1')
    fleet.pending['r1'].expect_load(Loadable('m2'), boottime_s())
    assert fleet.plan() is None


def test_replica_that_was_not_claimed_takes_no_adapter(fleet: Fleet) -> None:
    fleet.add('r1')
    fleet.pending['r1'].record_claim(FENCE - 1)
    fleet.clock.advance(1.1 * CLAIM_REPORT_LAG_S)
    fleet.pending['r1'].record_report(ReplicaReport((), False, 1))
    assert fleet.plan() is None
    fleet.add('r2')
    assert fleet.plan() == ('r2', None)


def test_replica_without_a_fresh_poll_is_not_chosen(fleet: Fleet) -> None:
    fleet.add('r1')
    fleet.pending['r1'].record_claim(1)
    assert fleet.plan() is None


def test_unserved_adapters_are_ordered_by_waiting_time(fleet: Fleet) -> None:
    fleet.clock.advance(60.0)
    fleet.unserved('a1', 2.0)
    fleet.unserved('a2', 5.0)
    fleet.unserved('a3', 20.0, ago_s=RETRY_WINDOW_S + 0.1)
    fleet.unserved('no-such', 9.0)
    fleet.seen('a4', ago_s=0.1)
    assert fleet.due() == ['a2', 'a1']


def test_overdue_adapter_replaces_one_in_steady_use(fleet: Fleet) -> None:
    """Otherwise one of 60 calls for the ninth of nine adapters is served."""
    fleet.add('r1', 'a1', 'a2', 'a3')
    fleet.seen('a1', ago_s=0.3, running=2.0)
    fleet.seen('a2', ago_s=0.2)
    fleet.seen('a3', ago_s=0.1)
    fleet.unserved('a6', OVERDUE_AFTER_S - 0.1)
    assert fleet.plan() is None
    fleet.unserved('a6', OVERDUE_AFTER_S)
    assert fleet.plan() == ('r1', 'a2')


def test_replica_loads_one_overdue_adapter_at_a_time(fleet: Fleet) -> None:
    fleet.add('r1', 'a1', 'a2', 'a3')
    fleet.seen('a1', ago_s=0.2)
    fleet.seen('a2', ago_s=0.1)
    fleet.unserved('a3', OVERDUE_AFTER_S + 1.0)
    fleet.unserved('a6', OVERDUE_AFTER_S)
    assert fleet.plan() is None
    fleet.seen('a3', ago_s=0.0)
    assert fleet.plan() == ('r1', 'a1')


def test_unserved_adapter_is_kept_until_its_callers_retry(fleet: Fleet) -> None:
    fleet.add('r1', 'a1', 'a2', 'a3')
    fleet.seen('a1', ago_s=0.1)
    fleet.seen('a2', ago_s=0.1)
    fleet.unserved('a3', ADAPTER_RETRY_WINDOW_S, ago_s=ADAPTER_RETRY_WINDOW_S - 0.5)
    fleet.unserved('a6', 1.0)
    assert fleet.plan() is None
    fleet.unserved('a3', ADAPTER_RETRY_WINDOW_S + 0.5, ago_s=ADAPTER_RETRY_WINDOW_S + 0.1)
    assert fleet.plan() == ('r1', 'a3')


def test_adapter_at_a_replica_out_of_reach_is_loaded_at_another(fleet: Fleet) -> None:
    fleet.add('r1', 'a6')
    fleet.add('r2', 'a1')
    assert fleet.plan() is None
    cut_off = fleet.directory.get('r1')
    assert cut_off is not None
    cut_off.health.record_failure(Failure.NO_CONNECTION)
    assert fleet.plan() == ('r2', None)


def test_adapter_at_a_replica_that_answers_no_poll_is_loaded_at_another(fleet: Fleet) -> None:
    fleet.add('r1', 'a6')
    fleet.add('r2', 'a1')
    fleet.pending['r1'].record_missed_poll()
    assert fleet.plan() is None
    fleet.pending['r1'].record_missed_poll()
    assert fleet.plan() == ('r2', None)


def test_adapter_that_goes_unserved_despite_its_place_gets_another(fleet: Fleet) -> None:
    fleet.clock.advance(60.0)
    fleet.add('r1', 'a6')
    fleet.add('r2', 'a1')
    fleet.unserved('a6', SECOND_PLACE_AFTER_S - 0.1)
    assert fleet.plan() is None
    fleet.unserved('a6', SECOND_PLACE_AFTER_S)
    assert fleet.plan() == ('r2', None)


def test_adapter_that_cannot_be_served_occupies_at_most_two_places(fleet: Fleet) -> None:
    fleet.clock.advance(60.0)
    fleet.add('r1', 'a6')
    fleet.add('r2', 'a6')
    fleet.add('r3', 'a1')
    fleet.unserved('a6', 5 * SECOND_PLACE_AFTER_S)
    assert fleet.plan() is None


def test_adapter_missing_from_the_configuration_is_not_loaded(fleet: Fleet) -> None:
    fleet.add('r1', 'a1')
    planner = AdapterPlanner('lm', ENGINE, fleet.directory, fleet.totals, FENCE)
    assert planner.plan(ModelKey('lm', 'm1', 'no-such'), fleet.pending) is None


def test_busy_adapter_whose_answers_begin_is_not_kept_for_retries(fleet: Fleet) -> None:
    """Otherwise a busy adapter is never evicted: some call always waits for its first event."""
    fleet.add('r1', 'a1', 'a2', 'a3')
    for adapter in ('a1', 'a2', 'a3'):
        fleet.unserved(adapter, 0.3)
    fleet.unserved('a6', OVERDUE_AFTER_S)
    assert fleet.plan() is not None

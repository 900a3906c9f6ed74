"""At which replica an adapter is loaded, and which adapter is evicted there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.demand.keys import ModelKey
from limeshelf.demand.service_ages import ServiceAges
from limeshelf.demand.totals import RETURN_LIFE_S, KeyTotals
from limeshelf.orders.pending import REPORT_SETTLE_S, PendingOrders
from limeshelf.orders.task import Loadable
from limeshelf.placement.adapters import (
    AWAITED_S,
    SECOND_PLACE_AFTER_S,
    TURN_AFTER_S,
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
#: Three places for adapters at each replica.
ENGINE = EngineSpec(8, 1000, 150.0, 3, 1.0, {'m1': ModelSpec('m1', 70.0, 5.0, 1.0, ADAPTERS, 1.0)})
WANTED = ModelKey('lm', 'm1', 'a6')
FENCE = 5


@attrs.define
class Fleet:
    """Replicas that hold a model with some adapters, claimed and freshly polled."""

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
        self.pending[name].note_claimed(FENCE)
        self.clock.advance(1.1 * REPORT_SETTLE_S)
        self.pending[name].note_report(report)

    def seen(self, adapter: str, ago_s: float, running: float = 0.0) -> None:
        self.totals[ModelKey('lm', 'm1', adapter)] = KeyTotals(
            seen_s=boottime_s() - ago_s, running=running
        )

    def unserved(self, adapter: str, since_s: float, ago_s: float = 0.1) -> None:
        """Let an adapter be asked for and not served since so long ago, last *ago_s* ago."""
        now_s = boottime_s()
        key = ModelKey('lm', 'm1', adapter)
        self.totals[key] = KeyTotals(
            seen_s=now_s - ago_s, ages=ServiceAges(unserved_since_s=now_s - since_s)
        )

    def due(self) -> list[str]:
        planner = AdapterPlanner('lm', ENGINE, self.directory, self.totals, FENCE)
        return [key.adapter for key in planner.due()]

    def plan(self) -> tuple[str, str | None] | None:
        """Return the replica, and the adapter that goes there, of the next move."""
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


def test_least_busy_replica_with_a_free_place_takes_it(fleet: Fleet) -> None:
    fleet.add('r1', 'a1')
    fleet.add('r2', 'a1')
    busy = fleet.directory.get('r1')
    assert busy is not None
    busy.own_load.calls = 4
    assert fleet.plan() == ('r2', None)


def test_of_equal_replicas_the_first_takes_it(fleet: Fleet) -> None:
    fleet.add('r1')
    fleet.add('r2')
    assert fleet.plan() == ('r1', None)


def test_adapter_that_is_there_or_on_its_way_is_not_loaded_again(fleet: Fleet) -> None:
    fleet.add('r1')
    fleet.pending['r1'].expect(Loadable('m1', 'a6'), boottime_s())
    fleet.add('r2')
    assert fleet.plan() is None
    fleet.pending['r1'].note_ended(Loadable('m1', 'a6'))
    assert fleet.plan() == ('r1', None)
    fleet.add('r3', 'a6')
    assert fleet.plan() is None


def test_idle_adapter_that_was_asked_for_longest_ago_is_evicted(fleet: Fleet) -> None:
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


def test_adapters_that_the_report_lists_as_loading_take_places(fleet: Fleet) -> None:
    fleet.add('r1', 'a1', loading=('a2', 'a3'))
    fleet.seen('a1', ago_s=0.1)
    assert fleet.plan() is None


def test_few_adapters_load_at_once_at_one_replica(fleet: Fleet) -> None:
    fleet.add('r1', 'a5', loading=('a1', 'a2', 'a3'))
    assert fleet.plan() == ('r1', 'a5')
    fleet.pending['r1'].expect(Loadable('m1', 'a4'), boottime_s())
    assert fleet.plan() is None


def test_replica_that_loads_a_whole_model_takes_no_adapter(fleet: Fleet) -> None:
    fleet.add('r1')
    fleet.pending['r1'].expect(Loadable('m2'), boottime_s())
    assert fleet.plan() is None


def test_replica_that_was_not_claimed_takes_no_adapter(fleet: Fleet) -> None:
    fleet.add('r1')
    fleet.pending['r1'].note_claimed(FENCE - 1)
    fleet.clock.advance(1.1 * REPORT_SETTLE_S)
    fleet.pending['r1'].note_report(ReplicaReport((), False, 1))
    assert fleet.plan() is None
    fleet.add('r2')
    assert fleet.plan() == ('r2', None)


def test_replica_without_a_fresh_poll_takes_no_adapter(fleet: Fleet) -> None:
    fleet.add('r1')
    fleet.pending['r1'].note_claimed(1)
    assert fleet.plan() is None


def test_adapters_that_go_unserved_are_due_who_waited_longest_first(fleet: Fleet) -> None:
    fleet.clock.advance(60.0)
    fleet.unserved('a1', 2.0)
    fleet.unserved('a2', 5.0)
    fleet.unserved('a3', 20.0, ago_s=RETURN_LIFE_S + 0.1)
    fleet.unserved('no-such', 9.0)
    fleet.seen('a4', ago_s=0.1)
    assert fleet.due() == ['a2', 'a1']


def test_adapter_that_waits_beside_places_in_steady_use_has_its_turn(fleet: Fleet) -> None:
    """One of 60 calls for the ninth of nine adapters found it, however long it was asked for."""
    fleet.add('r1', 'a1', 'a2', 'a3')
    fleet.seen('a1', ago_s=0.3, running=2.0)
    fleet.seen('a2', ago_s=0.2)
    fleet.seen('a3', ago_s=0.1)
    fleet.unserved('a6', TURN_AFTER_S - 0.1)
    assert fleet.plan() is None
    fleet.unserved('a6', TURN_AFTER_S)
    assert fleet.plan() == ('r1', 'a2')


def test_one_turn_at_a_time_costs_a_replica_its_places(fleet: Fleet) -> None:
    fleet.add('r1', 'a1', 'a2', 'a3')
    fleet.seen('a1', ago_s=0.2)
    fleet.seen('a2', ago_s=0.1)
    fleet.unserved('a3', TURN_AFTER_S + 1.0)
    fleet.unserved('a6', TURN_AFTER_S)
    assert fleet.plan() is None
    fleet.seen('a3', ago_s=0.0)
    assert fleet.plan() == ('r1', 'a1')


def test_adapter_that_came_for_somebody_stays_until_he_is_back(fleet: Fleet) -> None:
    fleet.add('r1', 'a1', 'a2', 'a3')
    fleet.seen('a1', ago_s=0.1)
    fleet.seen('a2', ago_s=0.1)
    fleet.unserved('a3', AWAITED_S, ago_s=AWAITED_S - 0.5)
    fleet.unserved('a6', 1.0)
    assert fleet.plan() is None
    fleet.unserved('a3', AWAITED_S + 0.5, ago_s=AWAITED_S + 0.1)
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
    fleet.pending['r1'].note_missed_poll()
    assert fleet.plan() is None
    fleet.pending['r1'].note_missed_poll()
    assert fleet.plan() == ('r2', None)


def test_adapter_that_goes_unserved_beside_its_place_gets_another(fleet: Fleet) -> None:
    fleet.clock.advance(60.0)
    fleet.add('r1', 'a6')
    fleet.add('r2', 'a1')
    fleet.unserved('a6', SECOND_PLACE_AFTER_S - 0.1)
    assert fleet.plan() is None
    fleet.unserved('a6', SECOND_PLACE_AFTER_S)
    assert fleet.plan() == ('r2', None)


def test_adapter_that_nobody_can_serve_takes_two_places_at_the_most(fleet: Fleet) -> None:
    fleet.clock.advance(60.0)
    fleet.add('r1', 'a6')
    fleet.add('r2', 'a6')
    fleet.add('r3', 'a1')
    fleet.unserved('a6', 5 * SECOND_PLACE_AFTER_S)
    assert fleet.plan() is None


def test_adapter_that_the_configuration_lacks_takes_no_place(fleet: Fleet) -> None:
    fleet.add('r1', 'a1')
    planner = AdapterPlanner('lm', ENGINE, fleet.directory, fleet.totals, FENCE)
    assert planner.plan(ModelKey('lm', 'm1', 'no-such'), fleet.pending) is None


def test_busy_adapter_whose_answers_begin_is_not_awaited(fleet: Fleet) -> None:
    """Of a busy one some call always waits for its first event, and no turn would ever come."""
    fleet.add('r1', 'a1', 'a2', 'a3')
    for adapter in ('a1', 'a2', 'a3'):
        fleet.unserved(adapter, 0.3)
    fleet.unserved('a6', TURN_AFTER_S)
    assert fleet.plan() is not None

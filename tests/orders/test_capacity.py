"""What counts as being in a replica's memory when a load is checked."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.orders.capacity import ModelUnknown, PossibleContents, RoomCheck, check_room
from limeshelf.orders.pending import PendingOrders
from limeshelf.orders.task import Loadable
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.holdings import drop_adapter, forget_holding
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.replicas.replica import Replica

if TYPE_CHECKING:
    from collections.abc import Callable

MODELS = {
    name: ModelSpec(name, 70.0, 5.0, 1.0, frozenset({'a1', 'a2', 'a3'}), 1.0)
    for name in ('m1', 'm2', 'm3')
}
ENGINE = EngineSpec(8, 1000, 150.0, 2, 1.0, MODELS)


def fits(
    load: Loadable,
    report: ReplicaReport,
    prepare: Callable[[PendingOrders], None] = lambda pending: None,
    change: Callable[[ReplicaDirectory, Replica], None] = lambda directory, replica: None,
) -> bool:
    directory = ReplicaDirectory(read_record)
    directory.apply_record(ReplicaRecord('r1', 'lm', 'ip:1', 'z1', 8, False, None, (), 1))
    directory.apply_report('r1', report)
    replica = directory.get('r1')
    assert isinstance(replica, Replica)
    pending = PendingOrders()
    prepare(pending)
    change(directory, replica)
    return check_room(load, PossibleContents.of_replica(replica, pending), ENGINE).fits


def holding(*adapters: str) -> tuple[Holding, ...]:
    return (Holding('m1', frozenset(adapters)),)


def test_loading_adapter_takes_a_place() -> None:
    load = Loadable('m1', 'a3')
    assert fits(load, ReplicaReport(holding('a1'), False, 1))
    with_loading = ReplicaReport(holding('a1'), False, 1, loading=(('m1', 'a2'),))
    assert not fits(load, with_loading)


def test_unconfirmed_load_takes_room() -> None:
    load = Loadable('m3')
    report = ReplicaReport(holding(), False, 1)
    assert fits(load, report)
    assert not fits(
        load, report, lambda pending: pending.record_load_unanswered(Loadable('m2'), 1)
    )
    assert not fits(load, report, lambda pending: pending.record_load_sent(Loadable('m2')))


def test_weights_and_adapters_share_the_memory() -> None:
    full = ReplicaReport((*holding('a1', 'a2'), Holding('m2')), False, 1)
    assert not fits(Loadable('m3'), full)
    assert not fits(Loadable('m1', 'a3'), full)


def test_answer_of_a_replica_frees_no_room() -> None:
    """A call was answered that its model is missing, but the replica's last report lists it."""

    def answer_model_missing(directory: ReplicaDirectory, replica: Replica) -> None:
        forget_holding(replica, 'm2', '')

    full = ReplicaReport((Holding('m1'), Holding('m2')), False, 1)
    assert not fits(Loadable('m3'), full, change=answer_model_missing)

    def answer_adapter_missing(directory: ReplicaDirectory, replica: Replica) -> None:
        forget_holding(replica, 'm1', 'a1')

    places_full = ReplicaReport(holding('a1', 'a2'), False, 1)
    assert not fits(Loadable('m1', 'a3'), places_full, change=answer_adapter_missing)


def test_adapter_unloaded_by_an_order_frees_its_place() -> None:
    def unloaded(directory: ReplicaDirectory, replica: Replica) -> None:
        drop_adapter(replica, 'm1', 'a1')

    places_full = ReplicaReport(holding('a1', 'a2'), False, 1)
    assert fits(Loadable('m1', 'a3'), places_full, change=unloaded)


def test_planned_load_takes_no_room_before_it_is_sent() -> None:
    report = ReplicaReport(holding(), False, 1)
    assert fits(Loadable('m3'), report, lambda pending: pending.expect_load(Loadable('m2'), 5.0))


def test_each_model_and_adapter_counts_once() -> None:
    contents = PossibleContents(
        held={'m1': frozenset({'a1'})},
        reported=(Holding('m1', frozenset({'a1'})),),
        loading=(('m1', 'a2'),),
        unconfirmed=frozenset({Loadable('m1', 'a2'), Loadable('m2')}),
    )
    assert check_room(Loadable('m2'), contents, ENGINE) == RoomCheck(142.0, 150.0, 2, 2)


def test_room_is_full_at_its_last_megabyte_and_place() -> None:
    contents = PossibleContents(held={'m1': frozenset({'a1'})})
    exact = attrs.evolve(ENGINE, capacity_mb=72.0, adapter_places=2)
    assert check_room(Loadable('m1', 'a2'), contents, exact).fits
    short = attrs.evolve(exact, capacity_mb=71.9)
    assert not check_room(Loadable('m1', 'a2'), contents, short).fits
    one_place = attrs.evolve(exact, adapter_places=1)
    assert not check_room(Loadable('m1', 'a2'), contents, one_place).fits


def test_unknown_model_never_fits() -> None:
    nothing = PossibleContents(held={})
    assert check_room(Loadable('m9'), nothing, ENGINE) == ModelUnknown()
    assert check_room(Loadable('m1'), nothing, None) == ModelUnknown()
    assert not ModelUnknown().fits


def test_held_model_without_configuration_counts_as_zero() -> None:
    contents = PossibleContents(held={'old': frozenset({'a1'})})
    assert check_room(Loadable('m1'), contents, ENGINE) == RoomCheck(70.0, 150.0, 1, 2)

"""Rules for what results of attempts mean for replicas."""

from __future__ import annotations

import attrs
import pytest

from limeshelf.calls.call import ModelNeed
from limeshelf.gateway.result_rules import (
    Failed,
    LacksModel,
    NoFinding,
    Replaced,
    ReplicaFinding,
    Served,
    apply_finding,
    classify_for_replica,
    excludes_replica,
)
from limeshelf.gateway.results import (
    AttemptResult,
    Broken,
    Delivered,
    FailureCause,
    NeverRan,
    NotSent,
)
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.health import Failure
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica
from tests.gateway.test_endings import whole_answer

NEED = ModelNeed('m', 'a1', 100, 20, 20, ())


def make_replica() -> Replica:
    record = ReplicaRecord('r-1', 'lm', 'ip:1', 'z1', 4, False, None, (), 1)
    return Replica(record, {'m': frozenset({'a1', 'a2'})})


@pytest.mark.parametrize(
    ('result', 'finding'),
    [
        (Delivered(200, 0.2), Served()),
        (whole_answer(404), Served()),
        (whole_answer(500), Failed(Failure.ERROR_STATUS, excluded=False)),
        (NeverRan(reached=False), Failed(Failure.NO_CONNECTION, excluded=True)),
        (NeverRan(reached=True), Failed(Failure.REFUSED, excluded=True)),
        (Broken(FailureCause.CONNECTION_BROKEN), Failed(Failure.BROKEN, excluded=True)),
        (Broken(FailureCause.CUT_SHORT), Failed(Failure.BROKEN, excluded=True)),
        (Broken(FailureCause.EVENT_TOO_LONG), Failed(Failure.BROKEN, excluded=True)),
        (Broken(FailureCause.SILENT), Failed(Failure.SILENT, excluded=True)),
        (Broken(FailureCause.FOREIGN_ANSWER), Failed(Failure.FOREIGN, excluded=True)),
        (Broken(FailureCause.TIME_OVER), NoFinding()),
        (NotSent(FailureCause.SILENT), Failed(Failure.SILENT, excluded=True)),
        (NotSent(FailureCause.TIME_OVER), NoFinding()),
        (NotSent(FailureCause.WITHHELD), NoFinding()),
    ],
)
def test_result_gives_a_finding(result: AttemptResult, finding: ReplicaFinding) -> None:
    assert classify_for_replica(result, is_model_call=True) == finding
    assert classify_for_replica(result, is_model_call=False) == finding


def test_misdirected_call_means_a_missing_model_or_another_replica() -> None:
    misdirected = NeverRan(reached=True, misdirected=True)
    assert classify_for_replica(misdirected, is_model_call=True) == LacksModel()
    assert classify_for_replica(misdirected, is_model_call=False) == Replaced()


def test_replica_that_answered_with_an_error_may_be_tried_again() -> None:
    assert not excludes_replica(classify_for_replica(whole_answer(500), is_model_call=False))
    assert not excludes_replica(NoFinding())
    assert not excludes_replica(Served())
    assert excludes_replica(LacksModel())
    assert excludes_replica(Replaced())
    assert excludes_replica(Failed(Failure.REFUSED, excluded=True))


def test_findings_update_the_state_of_a_replica() -> None:
    directory = ReplicaDirectory(read_record)
    replica = make_replica()
    assert apply_finding(Failed(Failure.SILENT, excluded=True), replica, NEED, directory)
    assert replica.health.is_suspended()
    assert not apply_finding(Served(), replica, NEED, directory)
    assert not replica.health.is_suspended()
    assert not apply_finding(LacksModel(), replica, NEED, directory)
    assert replica.holdings == {'m': frozenset({'a2'})}
    assert not apply_finding(Replaced(), replica, None, directory)
    assert replica.gone
    health = attrs.evolve(replica.health)
    assert not apply_finding(NoFinding(), replica, NEED, directory)
    assert replica.health == health

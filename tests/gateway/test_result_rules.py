"""What results of attempts teach about replicas."""

from __future__ import annotations

import attrs
import pytest

from limeshelf.calls.call import ModelNeed
from limeshelf.gateway.exchange import Broken, BrokenBy, Delivered, NeverRan, NotSent, Result
from limeshelf.gateway.result_rules import (
    Failed,
    LacksModel,
    Lesson,
    Nothing,
    Replaced,
    Served,
    apply,
    excludes,
    lesson_of,
)
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.health import Failure
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica
from tests.gateway.test_endings import whole

NEED = ModelNeed('m', 'a1', 100, 20, 20, ())


def a_replica() -> Replica:
    record = ReplicaRecord('r-1', 'lm', 'ip:1', 'z1', 4, False, None, (), 1)
    return Replica(record, {'m': frozenset({'a1', 'a2'})})


@pytest.mark.parametrize(
    ('result', 'lesson'),
    [
        (Delivered(200, 0.2), Served()),
        (whole(404), Served()),
        (whole(500), Failed(Failure.ERROR_STATUS, excluded=False)),
        (NeverRan(reached=False), Failed(Failure.NO_CONNECTION, excluded=True)),
        (NeverRan(reached=True), Failed(Failure.REFUSED, excluded=True)),
        (Broken(BrokenBy.CONNECTION_BROKEN), Failed(Failure.BROKEN, excluded=True)),
        (Broken(BrokenBy.CUT_SHORT), Failed(Failure.BROKEN, excluded=True)),
        (Broken(BrokenBy.EVENT_TOO_LONG), Failed(Failure.BROKEN, excluded=True)),
        (Broken(BrokenBy.SILENT), Failed(Failure.SILENT, excluded=True)),
        (Broken(BrokenBy.FOREIGN_ANSWER), Failed(Failure.FOREIGN, excluded=True)),
        (Broken(BrokenBy.TIME_OVER), Nothing()),
        (NotSent(BrokenBy.SILENT), Failed(Failure.SILENT, excluded=True)),
        (NotSent(BrokenBy.TIME_OVER), Nothing()),
        (NotSent(BrokenBy.WITHHELD), Nothing()),
    ],
)
def test_lesson_of_a_result(result: Result, lesson: Lesson) -> None:
    assert lesson_of(result, to_engine=True) == lesson
    assert lesson_of(result, to_engine=False) == lesson


def test_misdirected_call_tells_a_missing_model_or_another_incarnation() -> None:
    misdirected = NeverRan(reached=True, misdirected=True)
    assert lesson_of(misdirected, to_engine=True) == LacksModel()
    assert lesson_of(misdirected, to_engine=False) == Replaced()


def test_replica_that_answered_with_an_error_may_be_tried_again() -> None:
    assert not excludes(lesson_of(whole(500), to_engine=False))
    assert not excludes(Nothing())
    assert not excludes(Served())
    assert excludes(LacksModel())
    assert excludes(Replaced())
    assert excludes(Failed(Failure.REFUSED, excluded=True))


def test_lessons_change_what_is_believed_of_a_replica() -> None:
    directory = ReplicaDirectory(read_record)
    replica = a_replica()
    assert apply(Failed(Failure.SILENT, excluded=True), replica, NEED, directory)
    assert replica.health.is_suspended()
    assert not apply(Served(), replica, NEED, directory)
    assert not replica.health.is_suspended()
    assert not apply(LacksModel(), replica, NEED, directory)
    assert replica.holdings == {'m': frozenset({'a2'})}
    assert not apply(Replaced(), replica, None, directory)
    assert replica.gone
    health = attrs.evolve(replica.health)
    assert not apply(Nothing(), replica, NEED, directory)
    assert replica.health == health

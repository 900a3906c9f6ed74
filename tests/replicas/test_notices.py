"""How notices of replicas change their backpressure."""

from __future__ import annotations

import attrs
import pytest

from limeshelf.calls.notice import NO_NOTICE, ReplicaNotice
from limeshelf.calls.wire import AnswerHead
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.backpressure import MAX_PAUSE_S
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.notices import NoticeHandler, NoticeSource
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica
from limeshelf.util.clock import virtual_clock

RAN = AnswerHead(200, 'c', True, False, False, False, None, (), None)
REFUSED = attrs.evolve(RAN, status=503, not_run=True)
RATE = ReplicaNotice(rate_per_s=2.3, names_rate=True)
UNUSABLE = ReplicaNotice(names_rate=True, unusable=True)
LEAVING = ReplicaNotice(leaving=True)
RECORD = ReplicaRecord('r-1', 'app', 'ip:1', 'z1', 4, False, None, (), 1)


class World:
    def __init__(self) -> None:
        self.directory = ReplicaDirectory(read_record)
        self.directory.apply_record(RECORD)
        self.changes: list[NoticeSource] = []
        self.handler = NoticeHandler(
            self.directory, lambda replica, source: self.changes.append(source)
        )

    @property
    def replica(self) -> Replica:
        replica = self.directory.get('r-1')
        assert replica is not None
        return replica

    def answer(self, facts: AnswerHead, notice: ReplicaNotice, sent_s: float) -> None:
        facts = attrs.evolve(facts, notice=notice)
        self.handler.handle_call_response(self.replica, facts, sent_s)


@pytest.mark.parametrize('facts', [RAN, REFUSED])
def test_rate_is_set_by_any_response_and_ended_only_if_the_call_ran(facts: AnswerHead) -> None:
    world = World()
    with virtual_clock() as clock:
        world.answer(facts, RATE, clock.now_s)
        clock.advance(1.0)
        world.answer(facts, NO_NOTICE, clock.now_s)
        assert world.replica.backpressure.rate_per_s == (None if facts is RAN else 2.3)
    assert world.changes == [NoticeSource.CALL] * (2 if facts is RAN else 1)


def test_unusable_rate_neither_sets_nor_ends_one() -> None:
    world = World()
    with virtual_clock() as clock:
        world.answer(RAN, UNUSABLE, clock.now_s)
        assert world.replica.backpressure.rate_per_s is None
        world.answer(RAN, RATE, clock.now_s)
        clock.advance(1.0)
        world.answer(RAN, UNUSABLE, clock.now_s)
        assert world.replica.backpressure.rate_per_s == 2.3
    assert world.handler.unusable == {world.replica.start}


def test_response_to_an_order_sets_a_rate_and_ends_none() -> None:
    world = World()
    world.handler.handle_order_response('r-1', RATE)
    world.handler.handle_order_response('r-1', NO_NOTICE)
    world.handler.handle_order_response('unknown', RATE)
    assert world.replica.backpressure.rate_per_s == 2.3
    assert world.changes == [NoticeSource.ORDER]


def test_leaving_is_never_withdrawn_for_the_same_start() -> None:
    world = World()
    world.answer(REFUSED, LEAVING, 0.0)
    world.answer(RAN, NO_NOTICE, 1.0)
    assert not world.replica.takes_calls
    world.directory.mark_gone(world.replica, 'record_dropped')
    world.directory.apply_record(attrs.evolve(RECORD, heartbeat_number=9))
    assert not world.replica.gone
    assert not world.replica.takes_calls
    assert world.changes == [NoticeSource.CALL]


def test_notice_to_a_call_sent_before_the_row_was_deleted_applies_to_the_new_row() -> None:
    world = World()
    before = world.replica
    world.directory.mark_gone(before, 'record_dropped')
    world.directory.apply_record(attrs.evolve(RECORD, heartbeat_number=9))
    facts = attrs.evolve(RAN, notice=attrs.evolve(RATE, leaving=True))
    world.handler.handle_call_response(before, facts, 0.0)
    assert world.replica is not before
    assert not world.replica.takes_calls
    assert world.replica.backpressure.rate_per_s == 2.3


def test_restart_clears_backpressure() -> None:
    world = World()
    world.directory.apply_record(attrs.evolve(RECORD, heartbeat_number=2, born_ms=5))
    world.answer(RAN, attrs.evolve(RATE, leaving=True), 0.0)
    world.directory.apply_record(attrs.evolve(RECORD, heartbeat_number=1, born_ms=9))
    assert world.replica.takes_calls
    assert world.replica.backpressure.rate_per_s is None


def test_pause_is_not_shared_with_peers_and_not_shortened_by_a_later_one() -> None:
    world = World()
    with virtual_clock() as clock:
        world.answer(REFUSED, ReplicaNotice(pause_s=3.0), clock.now_s)
        clock.advance(1.0)
        world.answer(REFUSED, ReplicaNotice(pause_s=0.5), clock.now_s)
        assert world.replica.backpressure.remaining_pause_s == pytest.approx(2.0)
        world.answer(RAN, NO_NOTICE, clock.now_s)
        assert world.replica.backpressure.is_paused
        clock.advance(2.1)
        assert not world.replica.backpressure.is_paused
    assert world.changes == []


def test_pause_of_a_day_is_cut_to_the_limit() -> None:
    world = World()
    with virtual_clock():
        world.handler.handle_order_response('r-1', ReplicaNotice(pause_s=86400.0))
        assert world.replica.backpressure.remaining_pause_s == MAX_PAUSE_S

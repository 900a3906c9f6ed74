"""Which start of a replica a row or report describes, for any source and order of arrival."""

from __future__ import annotations

import itertools
import json
from typing import Any

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from limeshelf.feeds.rows import Row
from limeshelf.platform.replicas import read_record, read_report
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.loads import PeerLoads
from limeshelf.replicas.replica import Replica
from limeshelf.replicas.starts import CLOCK_STEP_BACK_S, KnownStart, StartOrder, StateSource
from limeshelf.util.clock import VirtualClock, virtual_clock
from tests.support.positions import make_position

#: Longest delay of a row or report.
LATEST_S = 6.0


def row(born: Any, beat: int, version: int, models: tuple[str, ...] = ()) -> Row:
    entry = {
        'Service': 's',
        'Address': '10.0.0.1:1',
        'Zone': 'z1',
        'Slots': 4,
        'State': 'ready',
        'SeqNo': beat,
        'Models': [{'Name': name} for name in models],
    }
    if born is not None:
        entry['born'] = born
    return Row('r1', json.dumps(entry).encode(), make_position(version))


def report(born: Any, orders: int, models: tuple[str, ...] = ()) -> Any:
    document = {'Models': [{'Name': name} for name in models], 'SeqNo': orders}
    if born is not None:
        document['born'] = born
    return read_report(json.dumps(document).encode())


def known(directory: ReplicaDirectory) -> Replica:
    replica = directory.get('r1')
    assert replica is not None
    return replica


def test_restart_shown_by_a_row_clears_the_state() -> None:
    restarts: list[StateSource] = []
    directory = ReplicaDirectory(read_record, on_restart=restarts.append)
    directory.apply_row(row(1000, 9, 1, ('m1',)))
    directory.apply_report('r1', report(1000, 7, ('m1',)))
    before = known(directory)
    before.own_load.calls = 2
    directory.apply_row(row(2000, 1, 2))
    after = known(directory)
    assert (before.gone, after.gone) == (True, False)
    assert (after.holdings, after.order_number, after.own_load.calls) == ({}, None, 0)
    assert after.start != before.start
    assert restarts == [StateSource.ROW]


def test_restart_shown_by_a_report_resets_the_heartbeat_number() -> None:
    directory = ReplicaDirectory(read_record)
    directory.apply_row(row(1000, 9, 1, ('m1',)))
    assert directory.apply_report('r1', report(2000, 0))
    assert known(directory).holdings == {}
    directory.apply_row(row(1000, 10, 2, ('m1',)))
    assert known(directory).holdings == {}
    directory.apply_row(row(2000, 1, 3))
    assert known(directory).record.heartbeat_number == 1


def test_row_and_report_of_an_earlier_start_are_ignored() -> None:
    directory = ReplicaDirectory(read_record)
    directory.apply_row(row(2000, 1, 5))
    directory.apply_row(row(1000, 40, 6, ('m1',)))
    assert not directory.apply_report('r1', report(1000, 9, ('m1',)), StateSource.PEER)
    assert known(directory).holdings == {}
    assert known(directory).known_start.born_ms == 2000


def test_row_without_a_start_time_is_ordered_by_its_heartbeat_number() -> None:
    directory = ReplicaDirectory(read_record)
    directory.apply_row(row(None, 3, 1, ('m1',)))
    directory.apply_row(row(None, 2, 2, ('m2',)))
    before = known(directory)
    assert set(before.holdings) == {'m1'}
    directory.apply_row(row(None, 4, 3, ('m2',)))
    assert set(known(directory).holdings) == {'m2'}
    assert known(directory) is before


def test_first_start_time_of_a_replica_is_not_a_restart() -> None:
    restarts: list[StateSource] = []
    directory = ReplicaDirectory(read_record, on_restart=restarts.append)
    directory.apply_row(row(None, 3, 1, ('m1',)))
    before = known(directory)
    directory.apply_row(row(1000, 4, 2, ('m1',)))
    directory.apply_report('r1', report(None, 2, ('m1',)))
    assert known(directory) is before
    assert restarts == []
    directory.apply_row(row(1500, 1, 3))
    assert known(directory) is not before


def test_row_that_is_deleted_and_written_again_is_the_same_start() -> None:
    directory = ReplicaDirectory(read_record)
    directory.apply_row(row(1000, 3, 1))
    before = known(directory)
    directory.apply_row(Row('r1', b'', make_position(2), gone=True))
    directory.apply_row(row(1000, 8, 3))
    assert known(directory) is not before
    assert known(directory).start == before.start


def test_restart_shown_by_a_report_gets_calls_once_its_row_arrives() -> None:
    directory = ReplicaDirectory(read_record)
    directory.apply_row(row(1000, 3, 1))
    directory.apply_row(Row('r1', b'', make_position(2), gone=True))
    directory.apply_report('r1', report(2000, 0))
    assert directory.of_service('s') == []
    directory.apply_row(row(2000, 1, 3))
    assert [replica.replica_id for replica in directory.of_service('s')] == ['r1']


@pytest.mark.parametrize('born', ['1000', 1000.5, 1.0e3, True, [], {}])
def test_row_whose_start_time_is_not_an_integer_is_invalid(born: Any) -> None:
    directory = ReplicaDirectory(read_record)
    assert not directory.apply_row(row(born, 1, 1))
    assert directory.get('r1') is None


def test_response_to_a_later_request_shows_a_clock_that_was_set_back() -> None:
    start = KnownStart(2000, known_since_s=10.0)
    assert start.compare(1000, 11.0, requested_s=9.0) is StartOrder.EARLIER
    assert start.compare(1000, 11.0, requested_s=10.5) is StartOrder.LATER


def test_rows_show_a_clock_that_was_set_back_after_the_longest_delay() -> None:
    start = KnownStart(2000, known_since_s=0.0)
    assert start.compare(1000, 10.0) is StartOrder.EARLIER
    assert start.compare(1000, 10.0 + CLOCK_STEP_BACK_S) is StartOrder.EARLIER
    assert start.compare(1000, 10.1 + CLOCK_STEP_BACK_S) is StartOrder.LATER
    assert start.compare(1000, 20.0 + CLOCK_STEP_BACK_S) is StartOrder.LATER
    assert start.compare(2000, 30.0) is StartOrder.SAME
    assert start.compare(1000, 30.1) is StartOrder.EARLIER


def test_loads_of_an_earlier_start_are_removed() -> None:
    loads = PeerLoads()
    at: Any = attrs.make_class('At', ['replica_id', 'calls', 'tokens'])
    loads.update('g2', [at('r1', 3, 30), at('r2', 1, 10)])
    loads.forget_replica('r1')
    assert (loads.load_at('r1').calls, loads.load_at('r2').calls) == (0, 1)


@attrs.define
class Message:
    """A row or report, which may arrive late and more than once."""

    sent_s: float
    start: int
    born_ms: int
    count: int
    models: tuple[str, ...]


class Restarts(RuleBasedStateMachine):
    """A replica that restarts repeatedly, and whose rows and reports arrive in any order.

    Its clock may be set back between two starts. Its rows then arrive for long enough before the
    next restart, as they do from a running replica.
    """

    @initialize()
    def initialise(self) -> None:
        self.entered = virtual_clock()
        self.clock: VirtualClock = self.entered.__enter__()
        self.directory = ReplicaDirectory(read_record)
        self.numbers = itertools.count(1)
        self.start = 0
        self.born_ms = 1_000_000
        self.count = 0
        self.models: tuple[str, ...] = ()
        self.sent: list[Message] = []
        self.arrived: set[int] = set()
        self.newest = 0
        self.send_row()

    def teardown(self) -> None:
        if hasattr(self, 'entered'):
            self.entered.__exit__(None, None, None)

    def _create(self) -> Message:
        self.count += 1
        message = Message(self.clock.now_s, self.start, self.born_ms, self.count, self.models)
        self.sent.append(message)
        return message

    def _deliver(
        self, message: Message, source: StateSource, requested_s: float | None = None
    ) -> None:
        if source is StateSource.ROW:
            self.directory.apply_row(
                row(message.born_ms, message.count, next(self.numbers), message.models)
            )
        else:
            self.directory.apply_report(
                'r1',
                report(message.born_ms, message.count, message.models),
                source,
                requested_s=requested_s,
            )
        self.newest = max(self.newest, message.start)

    @rule()
    def send_row(self) -> None:
        self._deliver(self._create(), StateSource.ROW)

    @rule()
    def report_to_peer(self) -> None:
        self._deliver(self._create(), StateSource.PEER)

    @rule()
    def report_on_request(self) -> None:
        requested_s = self.clock.now_s
        self.clock.advance(0.01)
        self._deliver(self._create(), StateSource.REPORT, requested_s)

    @rule()
    def send_with_loss_or_delay(self) -> None:
        self._create()

    @rule(data=st.data(), source=st.sampled_from([StateSource.ROW, StateSource.PEER]))
    def deliver_late_or_again(self, data: Any, source: StateSource) -> None:
        oldest_s = self.clock.now_s - LATEST_S
        late = [message for message in self.sent if message.sent_s >= oldest_s]
        if late:
            self._deliver(data.draw(st.sampled_from(late)), source)

    @rule(seconds=st.floats(0.05, 3.0))
    def advance_time(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(models=st.sampled_from([('m1',), ('m1', 'm2'), ()]))
    def load(self, models: tuple[str, ...]) -> None:
        self.models = models

    @rule(lived_s=st.floats(0.2, 30.0))
    def restart(self, lived_s: float) -> None:
        self._restart(self.born_ms + int(lived_s * 1000))

    @rule(back_ms=st.integers(1, 100_000))
    def restart_with_clock_set_back(self, back_ms: int) -> None:
        self._restart(self.born_ms - back_ms)
        for _ in range(int(CLOCK_STEP_BACK_S) + 2):
            self.clock.advance(1.0)
            self.send_row()

    def _restart(self, born_ms: int) -> None:
        self.start += 1
        self.born_ms, self.count, self.models = born_ms, 0, ()

    @invariant()
    def known_start_is_the_newest(self) -> None:
        if not hasattr(self, 'directory'):
            return
        replica = self.directory.get('r1')
        if replica is None:
            return
        starts = [
            message.start
            for message in self.sent
            if message.born_ms == replica.known_start.born_ms
        ]
        assert max(starts) == self.newest

    @invariant()
    def holdings_are_of_the_known_start(self) -> None:
        if not hasattr(self, 'directory'):
            return
        replica = self.directory.get('r1')
        if replica is None:
            return
        expected = {
            message.models
            for message in self.sent
            if message.born_ms == replica.known_start.born_ms
        }
        assert tuple(sorted(replica.holdings)) in expected | {()}


TestRestarts = Restarts.TestCase
TestRestarts.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)

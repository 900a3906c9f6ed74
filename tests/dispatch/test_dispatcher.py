"""The dispatcher: prefill limits, order of service and refusals."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.calls.routes import EngineSpec, ServiceSpec
from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.dispatcher import Dispatcher
from limeshelf.dispatch.messages import (
    DispatchProgress,
    DispatchQuery,
    DispatchVerdict,
    SharedPart,
    Stage,
    VerdictKind,
)
from limeshelf.membership.member import LOCAL
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord
from limeshelf.replicas.starts import ReplicaStart
from limeshelf.util.clock import VirtualClock, virtual_clock

SERVICE = ServiceSpec('lm', 50, EngineSpec(4, 20000, 100.0, 4, 1.0, {}, 2))


class Config:
    def __init__(self, event_tokens: int = 2) -> None:
        assert SERVICE.engine is not None
        engine = attrs.evolve(SERVICE.engine, event_tokens=event_tokens)
        self.services = {'lm': attrs.evolve(SERVICE, engine=engine)}


class Harness:
    def __init__(self, clock: VirtualClock, replicas: int) -> None:
        self.clock = clock
        self.directory = ReplicaDirectory(read_record)
        for number in range(replicas):
            self.directory.apply_record(
                ReplicaRecord(
                    f'r{number}', 'lm', f'ip:{number}', 'z1', 4, False, None, (Holding('m'),), 1
                )
            )
        self.verdicts: list[DispatchVerdict] = []
        config: Any = Config()
        self.dispatcher = Dispatcher(
            self.directory,
            lambda: config,
            lambda requester, verdict: self.verdicts.append(verdict),
            lambda data_centre: LOCAL,
            'z1',
        )

    def ask(self, ticket_id: str, tokens: int = 1000, **changes: Any) -> VerdictKind:
        fields: dict[str, Any] = {
            'ticket_id': ticket_id,
            'key': ModelKey('lm', 'm'),
            'prompt_tokens': tokens,
            'likely_tokens': 100,
            'priority': 1,
            'objective_ms': 1000,
            'left_ms': 5000,
            'pause_ms': 300,
            'data_centre': 'z1',
            'parts': [],
            'excluded': [],
            **changes,
        }
        self.dispatcher.handle_query(DispatchQuery(**fields), 'peer')
        return self.verdicts[-1].kind

    def granted(self) -> list[str]:
        return [v.ticket_id for v in self.verdicts if v.kind is VerdictKind.GRANTED]


@pytest.fixture
def clock() -> Iterator[VirtualClock]:
    with virtual_clock() as made:
        yield made


def test_prefill_time_in_any_pause_window_stays_below_the_pause(clock: VirtualClock) -> None:
    """Two prefills granted in succession can fall between the same two events of a stream.

    Guards against limiting only the prefills in progress: under normal load, 160 of 560 streams
    then paused for 311 to 450 ms.
    """
    harness = Harness(clock, 1)
    assert harness.ask('a', 2500) is VerdictKind.GRANTED
    assert harness.ask('b', 2500) is VerdictKind.QUEUED
    harness.dispatcher.handle_progress(DispatchProgress('a', Stage.READ))
    assert harness.granted() == ['a']
    clock.advance(0.36)
    harness.dispatcher.process_queue()
    assert harness.granted() == ['a', 'b']


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    asked=st.lists(
        st.tuples(st.integers(50, 3500), st.floats(0, 0.2), st.integers(1, 4)), max_size=40
    )
)
def test_no_window_exceeds_the_prefill_limit(
    asked: list[tuple[int, float, int]],
) -> None:
    with virtual_clock() as clock:
        harness = Harness(clock, 1)
        reads: list[tuple[float, float]] = []
        seen = 0
        tokens_of = {}
        for number, (tokens, gap_s, priority) in enumerate(asked):
            tokens_of[f't{number}'] = tokens
            harness.ask(f't{number}', tokens, priority=priority, likely_tokens=0)
            for _ in range(4):
                clock.advance(gap_s / 4)
                harness.dispatcher.process_queue()
                for ticket_id in harness.granted()[seen:]:
                    reads.append((clock.now_s, tokens_of[ticket_id] * 0.055))
                    harness.dispatcher.handle_progress(DispatchProgress(ticket_id, Stage.ENDED))
                seen = len(harness.granted())
        for start_s, first_ms in reads:
            inside = [ms for at_s, ms in reads if start_s <= at_s < start_s + 0.29]
            assert sum(inside) <= max(first_ms, 276 * 0.84) + 1e-6


def test_calls_spread_over_replicas(clock: VirtualClock) -> None:
    harness = Harness(clock, 3)
    for name in 'abc':
        assert harness.ask(name, 2000) is VerdictKind.GRANTED
    assert len({verdict.replica_id for verdict in harness.verdicts}) == 3


def test_most_urgent_goes_first(clock: VirtualClock) -> None:
    harness = Harness(clock, 1)
    harness.ask('a', 3000)
    harness.ask('late', 3000, priority=2)
    harness.ask('soon', 3000, priority=0)
    clock.advance(0.36)
    harness.dispatcher.process_queue()
    assert harness.granted() == ['a', 'soon']


def test_repeated_query_has_no_further_effect(clock: VirtualClock) -> None:
    harness = Harness(clock, 1)
    for _ in range(5):
        assert harness.ask('a') is VerdictKind.GRANTED
    assert harness.dispatcher._selector.loads[ReplicaStart('r0')].calls == 1


def test_load_is_zero_after_all_calls_ended(clock: VirtualClock) -> None:
    harness = Harness(clock, 2)
    for number in range(20):
        harness.ask(f't{number}', left_ms=60000, objective_ms=60000)
    for number in range(20):
        harness.dispatcher.handle_progress(DispatchProgress(f't{number}', Stage.READ))
        harness.dispatcher.handle_progress(DispatchProgress(f't{number}', Stage.ENDED))
    for load in harness.dispatcher._selector.loads.values():
        assert (load.calls, load.tokens, load.total_prefill_ms) == (0, 0, 0.0)


def test_grants_of_a_crashed_gateway_expire(clock: VirtualClock) -> None:
    harness = Harness(clock, 1)
    for name in 'abcd':
        harness.ask(name, 10, left_ms=1000)
        harness.dispatcher.handle_progress(DispatchProgress(name, Stage.READ))
    assert harness.ask('e', 10) is VerdictKind.QUEUED
    clock.advance(2.5)
    assert harness.ask('f', 10) is VerdictKind.GRANTED


def test_absent_model_and_excluded_replica(clock: VirtualClock) -> None:
    harness = Harness(clock, 1)
    assert harness.ask('a', key=ModelKey('lm', 'none')) is VerdictKind.ABSENT
    assert harness.ask('b', excluded=['r0']) is VerdictKind.ABSENT


def test_late_request_is_refused_unless_its_caller_retries(clock: VirtualClock) -> None:
    harness = Harness(clock, 1)
    harness.ask('a', 3000)
    for number in range(6):
        harness.ask(f'q{number}', 2000)
    assert harness.ask('x', 2000) is VerdictKind.REFUSED
    assert harness.verdicts[-1].wait_ms > 0
    assert harness.ask('y', 2000, returned=True) is VerdictKind.QUEUED


def test_shared_blocks_are_not_prefilled_again(clock: VirtualClock) -> None:
    harness = Harness(clock, 1)
    parts = [SharedPart('p', 1900)]
    harness.ask('a', 4000, parts=parts)
    clock.advance(0.4)
    harness.dispatcher.handle_progress(DispatchProgress('a', Stage.READ))
    harness.ask('b', 2000, parts=parts)
    assert harness.ask('c', 2000, parts=parts) is VerdictKind.GRANTED


def test_overdue_prefill_no_longer_blocks_the_next(clock: VirtualClock) -> None:
    harness = Harness(clock, 1)
    harness.ask('a', 3000)
    harness.ask('b', 3000)
    clock.advance(0.5)
    harness.dispatcher.process_queue()
    assert harness.granted() == ['a', 'b']


def test_calls_that_other_gateways_report_take_slots(clock: VirtualClock) -> None:
    from limeshelf.membership.messages import ReplicaLoad

    harness = Harness(clock, 1)
    harness.directory.update_peer_loads('g2', [ReplicaLoad('r0', 4, 400)])
    assert harness.ask('a') is VerdictKind.QUEUED


def test_more_steps_per_event_leave_less_prefill_time(clock: VirtualClock) -> None:
    harness = Harness(clock, 1)
    harness.dispatcher._config = lambda: Config(event_tokens=4)  # type: ignore[assignment,return-value]
    harness.ask('a', 1950)
    assert harness.ask('b', 1950) is VerdictKind.QUEUED
    harness.dispatcher._config = lambda: Config(event_tokens=2)  # type: ignore[assignment,return-value]
    harness.dispatcher.process_queue()
    assert harness.granted() == ['a', 'b']


def test_queue_pass_tries_only_a_few_calls_per_model(clock: VirtualClock) -> None:
    """Guards against trying every queued call at every replica on each progress report."""
    harness = Harness(clock, 3)
    selector = harness.dispatcher._selector
    attempted: list[str] = []
    choose = selector.choose
    selector.choose = lambda request, engine: (
        attempted.append(request.request_id) or choose(request, engine)
    )  # type: ignore[method-assign]
    for number in range(60):
        harness.ask(f't{number}', 3000, objective_ms=90000, left_ms=90000)
    assert len(attempted) <= 60
    attempted.clear()
    harness.dispatcher.process_queue()
    assert len(attempted) <= 3
    waiting = harness.dispatcher.queue_length
    clock.advance(0.36)
    harness.dispatcher.process_queue()
    assert harness.dispatcher.queue_length == waiting - 3


def test_more_urgent_call_is_not_overtaken_by_a_new_one(clock: VirtualClock) -> None:
    harness = Harness(clock, 1)
    harness.ask('a', 3000)
    assert harness.ask('soon', 3000, priority=0) is VerdictKind.QUEUED
    clock.advance(0.36)
    assert harness.ask('new', 10) is VerdictKind.QUEUED
    harness.dispatcher.process_queue()
    assert harness.granted()[:2] == ['a', 'soon']


def test_expired_request_that_is_sent_again_takes_no_slot(clock: VirtualClock) -> None:
    """Guards against granting an expired request.

    A request already dropped from the queue as expired was granted when sent again, which raised
    an error and kept its slot occupied.
    """
    harness = Harness(clock, 1)
    assert harness.ask('a', 3500) is VerdictKind.GRANTED
    for _ in range(3):
        harness.ask('b', 1000, left_ms=300, objective_ms=9000)
        clock.advance(0.2)
    harness.dispatcher.handle_progress(DispatchProgress('b', Stage.ENDED))
    load = harness.dispatcher._selector.loads[ReplicaStart('r0')]
    assert load.calls == 1
    assert 'b' not in harness.granted()


def test_adapter_call_does_not_wait_for_calls_that_its_holder_cannot_serve(
    clock: VirtualClock,
) -> None:
    """Guards against counting queued calls that only other holders can serve.

    A call whose holder was idle was refused because of the queue for another adapter.
    """
    harness = Harness(clock, 0)
    for replica, adapter in [('r0', 'a1'), ('r1', 'a1'), ('r2', 'a9')]:
        held = (Holding('m', frozenset({adapter})),)
        harness.directory.apply_record(
            ReplicaRecord(replica, 'lm', f'ip:{replica}', 'z1', 4, False, None, held, 1)
        )
    hot, rare = ModelKey('lm', 'm', 'a1'), ModelKey('lm', 'm', 'a9')
    for number in range(12):
        harness.ask(f'hot-{number}', 3000, key=hot, objective_ms=60_000, left_ms=60_000)
    assert harness.dispatcher.queue_length > 0
    assert harness.ask('rare', 500, key=rare, priority=2) is VerdictKind.GRANTED
    assert harness.verdicts[-1].replica_id == 'r2'


def test_adapter_call_waits_for_calls_that_its_holder_can_serve(
    clock: VirtualClock,
) -> None:
    harness = Harness(clock, 0)
    held = (Holding('m', frozenset({'a9'})),)
    harness.directory.apply_record(
        ReplicaRecord('r0', 'lm', 'ip:0', 'z1', 4, False, None, held, 1)
    )
    assert harness.ask('first', 3000) is VerdictKind.GRANTED
    assert harness.ask('urgent', 3000, objective_ms=9000) is VerdictKind.QUEUED
    rare = ModelKey('lm', 'm', 'a9')
    assert harness.ask('rare', 10, key=rare, priority=2, objective_ms=9000) is VerdictKind.QUEUED

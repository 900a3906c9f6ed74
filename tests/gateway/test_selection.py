"""Selection of the replica for an attempt, and the queries to the dispatcher."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from limeshelf.calls.call import Call, ModelNeed
from limeshelf.calls.routes import EngineSpec, ServiceSpec
from limeshelf.dispatch.grants import NoCapacity, NoHolder
from limeshelf.dispatch.messages import Stage, VerdictKind
from limeshelf.dispatch.rate_limiter import RatePermit
from limeshelf.gateway.answer import Answer
from limeshelf.gateway.results import Broken, Delivered, FailureCause, NeverRan, NotSent
from limeshelf.gateway.selection import NoVersion, ReplicaSelector, Selected
from limeshelf.gateway.state import CallState
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.health import Failure
from limeshelf.replicas.record import Holding, ReplicaRecord
from limeshelf.replicas.replica import Replica
from limeshelf.routing.plain_selector import PlainReplicaSelector
from limeshelf.util.clock import boottime_s
from tests.dispatch.test_client import FakeNode, client_of, in_loop
from tests.support.routes import make_route

ENGINE = ServiceSpec('lm', 50, EngineSpec(4, 20000, 100.0, 4, 1.0, {}))
PLAIN = ServiceSpec('app', 50, None)
NEED = ModelNeed('m', '', 100, 50, 20, ())


def selector_of(wire: FakeNode, permits: Any = None) -> ReplicaSelector:
    directory = ReplicaDirectory(read_record)
    for number in range(2):
        for service in (ENGINE, PLAIN):
            directory.apply_record(
                ReplicaRecord(
                    f'{"r" if service is ENGINE else "p"}{number}',
                    service.name,
                    f'{service.name}:{number}',
                    'z1',
                    4,
                    False,
                    None,
                    (Holding('m'),),
                    1,
                )
            )
    return ReplicaSelector(
        directory, PlainReplicaSelector(directory, 'z1'), client_of(wire), permits or FakePermits()
    )


class FakePermits:
    """Returns preset permits, and records the replicas that it was asked for."""

    def __init__(self, **permits: RatePermit) -> None:
        self.permits = permits
        self.asked: list[str] = []

    async def acquire(self, replica: Replica, max_wait_s: float) -> RatePermit:
        self.asked.append(replica.replica_id)
        return self.permits[replica.replica_id]


def state_of(service: ServiceSpec, need: ModelNeed | None = None, **changes: Any) -> CallState:
    now_s = boottime_s()
    call = Call('c', 'POST', 'h', '/r/x', (), b'', now_s, None, need, None)
    answer: Answer = _UnusedAnswer()
    state = CallState(call, answer, make_route(), service, now_s + 10.0)
    return attrs.evolve(state, **changes)


class _UnusedAnswer:
    """An answer that fails the test when it is used."""

    started = False

    def __getattr__(self, name: str) -> Any:
        raise AssertionError(name)


@in_loop
async def test_model_call_goes_to_the_granted_replica() -> None:
    wire = FakeNode(VerdictKind.GRANTED)
    selected = await selector_of(wire).select(state_of(ENGINE, NEED))
    assert isinstance(selected, Selected)
    assert selected.replica.replica_id == 'r0'
    selected.report_first_event()
    selected.report_end()
    assert [stage for _, stage in wire.stages()] == [Stage.READ, Stage.ENDED]


@in_loop
async def test_grant_for_a_leaving_replica_is_released() -> None:
    wire = FakeNode(VerdictKind.GRANTED)
    selector = selector_of(wire)
    replica = selector.directory.get('r0')
    assert replica is not None
    replica.leaving = True
    state = state_of(ENGINE, NEED)
    assert await selector.select(state) == NoHolder()
    assert state.excluded == {'r0'}
    assert [stage for _, stage in wire.stages()] == [Stage.ENDED]


@in_loop
async def test_query_has_the_unreachable_replicas_and_the_callers_time_out() -> None:
    wire = FakeNode(VerdictKind.REFUSED)
    selector = selector_of(wire)
    replica = selector.directory.get('r1')
    assert replica is not None
    replica.health.record_failure(Failure.NO_CONNECTION)
    state = state_of(ENGINE, NEED, excluded={'r9'})
    assert await selector.select(state) == NoCapacity(0.07)
    query = wire.sent[0][1]
    assert query.excluded == ['r1', 'r9']
    # The caller's time-out is four objectives of 1 s; the call may wait for 0.85 of it.
    assert 3300 <= query.left_ms <= 3400
    assert 900 <= query.objective_ms <= 1000


@pytest.mark.parametrize(('excluded', 'chosen'), [({'p0'}, 'p1'), ({'p1'}, 'p0')])
@in_loop
async def test_plain_call_is_routed_without_the_dispatcher(
    excluded: set[str], chosen: str
) -> None:
    wire = FakeNode()
    selected = await selector_of(wire).select(state_of(PLAIN, excluded=excluded))
    assert isinstance(selected, Selected)
    assert selected.replica.replica_id == chosen
    selected.report_end()
    assert wire.sent == []


@in_loop
async def test_plain_call_without_a_replica_left() -> None:
    state = state_of(PLAIN, excluded={'p0', 'p1'})
    assert await selector_of(FakeNode()).select(state) == NoHolder()


def test_results_count_as_runs_or_refusals() -> None:
    state = state_of(PLAIN)
    for result in (NeverRan(reached=True), Broken(FailureCause.SILENT), Delivered(200, 0.1)):
        state.record_result(result)
    assert (state.refusals, state.runs, state.last_result) == (1, 1, Delivered(200, 0.1))


def limit_rate(selector: ReplicaSelector, *replica_ids: str) -> None:
    for replica_id in replica_ids:
        replica = selector.directory.get(replica_id)
        assert replica is not None
        replica.backpressure.rate.record(2.0, boottime_s())


@in_loop
async def test_plain_call_skips_a_replica_without_a_permit() -> None:
    permits = FakePermits(p0=RatePermit(False, 0.4))
    selector = selector_of(FakeNode(VerdictKind.GRANTED), permits)
    limit_rate(selector, 'p0')
    for _ in range(8):
        selected = await selector.select(state_of(PLAIN))
        assert isinstance(selected, Selected)
        assert selected.replica.replica_id == 'p1'
    assert set(permits.asked) == {'p0'}


@in_loop
async def test_plain_call_without_any_permit_gets_the_time_until_the_next() -> None:
    selector = selector_of(
        FakeNode(VerdictKind.GRANTED),
        FakePermits(p0=RatePermit(False, 0.4), p1=RatePermit(False, 0.3)),
    )
    limit_rate(selector, 'p0', 'p1')
    assert await selector.select(state_of(PLAIN)) == NoCapacity(0.3)
    assert await selector.select(state_of(PLAIN, excluded={'p1'})) == NoHolder()


@in_loop
async def test_plain_call_gets_a_permit() -> None:
    selector = selector_of(FakeNode(VerdictKind.GRANTED), FakePermits(p0=RatePermit(True, 0.0)))
    limit_rate(selector, 'p0')
    selected = await selector.select(state_of(PLAIN, excluded={'p1'}))
    assert isinstance(selected, Selected)
    assert selected.has_permit
    assert selected.may_send()


@in_loop
async def test_grant_without_a_permit_needs_one_and_is_released_otherwise() -> None:
    for granted, stages in [(True, []), (False, [Stage.ENDED])]:
        wire = FakeNode(VerdictKind.GRANTED)
        selector = selector_of(wire, FakePermits(r0=RatePermit(granted, 0.0)))
        limit_rate(selector, 'r0')
        selected = await selector.select(state_of(ENGINE, NEED))
        assert isinstance(selected, Selected if granted else NoHolder)
        assert [stage for _, stage in wire.stages()] == stages


@in_loop
async def test_call_is_withheld_from_a_replica_that_states_a_rate_after_the_selection() -> None:
    selector = selector_of(FakeNode(VerdictKind.GRANTED))
    selected = await selector.select(state_of(PLAIN, excluded={'p1'}))
    assert isinstance(selected, Selected)
    assert selected.may_send()
    limit_rate(selector, 'p0')
    assert not selected.may_send()


def test_withheld_call_does_not_count_as_sent() -> None:
    state = state_of(PLAIN)
    state.begin_attempt()
    state.record_result(NotSent(FailureCause.WITHHELD))
    assert (state.sends, state.refusals, state.runs) == (0, 0, 0)


def directory_of(*replicas: tuple[str, str]) -> ReplicaDirectory:
    """Return a directory of engines, each with its version and the model that it holds."""
    directory = ReplicaDirectory(read_record)
    for number, (version, model) in enumerate(replicas):
        holdings = (Holding(model),) if model else ()
        directory.apply_record(
            ReplicaRecord(
                f'r{number}',
                'lm',
                f'lm:{number}',
                'z1',
                4,
                False,
                None,
                holdings,
                1,
                None,
                version,
            )
        )
    return directory


@pytest.mark.parametrize(
    ('replicas', 'expected'),
    [
        # One version: the model is loaded again, or its replicas come back.
        ([], None),
        ([('v1', '')], None),
        ([('v1', 'm')], None),
        # Two versions.
        ([('v1', 'm'), ('v2', 'm')], None),
        ([('v1', ''), ('v2', '')], None),
        ([('v1', ''), ('v2', 'm')], NoVersion(is_gone=False)),
        ([('v2', 'm')], NoVersion(is_gone=True)),
        ([('v2', '')], NoVersion(is_gone=True)),
    ],
)
def test_bound_stream_waits_only_for_what_may_come(
    replicas: list[tuple[str, str]], expected: NoVersion | None
) -> None:
    # A stream whose only replica had crashed was cut off though its model was being loaded.
    directory = directory_of(*replicas)
    plain = PlainReplicaSelector(directory, 'z1')
    node = FakeNode(VerdictKind.ABSENT)
    selector = ReplicaSelector(directory, plain, client_of(node), FakePermits())  # type: ignore[arg-type]
    assert selector._no_version(state_of(ENGINE, NEED, version='v1')) == expected
    assert selector._no_version(state_of(ENGINE, NEED)) is None

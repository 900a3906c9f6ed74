"""Dispatcher invariants under lost, repeated and late messages and changing owners.

Two gateways of one data centre may both consider themselves the owner of its replicas, since each
follows its own membership view. Requests may be sent to either, verdicts and progress reports may
be lost, and requests may end at any time.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from limeshelf.calls.routes import EngineSpec, ServiceSpec
from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.dispatcher import QUEUED_TTL_S, Dispatcher
from limeshelf.dispatch.granted import GRANT_GRACE_S
from limeshelf.dispatch.messages import (
    DispatchProgress,
    DispatchQuery,
    DispatchVerdict,
    Stage,
    VerdictKind,
)
from limeshelf.membership.member import LOCAL
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord
from limeshelf.util.clock import virtual_clock

SLOTS = 3
REPLICAS = 2
LEFT_S = 4.0
ENGINE = EngineSpec(SLOTS, 20000, 100.0, 4, 1.0, {}, 2)


@attrs.define
class Config:
    services: dict[str, ServiceSpec]


@attrs.define
class Owner:
    """A gateway that may consider itself the owner, with the verdicts that it sent."""

    is_owner_in_own_view: bool = True
    verdicts: dict[str, DispatchVerdict] = attrs.field(factory=dict)
    directory: ReplicaDirectory = attrs.field(init=False)
    dispatcher: Dispatcher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.directory = ReplicaDirectory(read_record)
        for number in range(REPLICAS):
            record = ReplicaRecord(
                f'r{number}', 'lm', f'ip:{number}', 'z1', SLOTS, False, None, (Holding('m'),), 1
            )
            self.directory.apply_record(record)
        config: Any = Config({'lm': ServiceSpec('lm', 50, ENGINE)})
        self.dispatcher = Dispatcher(
            self.directory,
            lambda: config,
            self._record_verdict,
            lambda data_centre: LOCAL if self.is_owner_in_own_view else 'other',
            'z1',
        )

    def _record_verdict(self, requester: str, verdict: DispatchVerdict) -> None:
        self.verdicts[verdict.ticket_id] = verdict

    def calls(self) -> int:
        return sum(load.calls for load in self.dispatcher._selector.loads.values())


class TwoOwnersMachine(RuleBasedStateMachine):
    """Requests sent to two gateways that may both act as owner."""

    @initialize()
    def begin(self) -> None:
        self.entered = virtual_clock()
        self.clock = self.entered.__enter__()
        self.owners = [Owner(), Owner()]
        self.asked: dict[str, tuple[int, float]] = {}
        self.ended: set[str] = set()

    def teardown(self) -> None:
        if hasattr(self, 'entered'):
            self.entered.__exit__(None, None, None)

    def query(self, request_id: str, left_s: float) -> DispatchQuery:
        return DispatchQuery(
            ticket_id=request_id,
            key=ModelKey('lm', 'm'),
            prompt_tokens=300,
            likely_tokens=50,
            priority=1,
            objective_ms=int(left_s * 1000),
            left_ms=int(left_s * 1000),
            pause_ms=300,
            data_centre='z1',
            parts=[],
            excluded=[],
            returned=True,
        )

    @rule(owner=st.integers(0, 1))
    def ask(self, owner: int) -> None:
        request_id = f't{len(self.asked)}'
        self.asked[request_id] = (owner, self.clock.now_s + LEFT_S)
        query = self.query(request_id, LEFT_S)
        self.owners[owner].dispatcher.handle_query(query, 'peer')

    @rule(index=st.integers(0, 20))
    def ask_again(self, index: int) -> None:
        unfinished = [name for name in self.asked if name not in self.ended]
        if unfinished:
            request_id = unfinished[index % len(unfinished)]
            owner, ends_s = self.asked[request_id]
            query = self.query(request_id, ends_s - self.clock.now_s)
            self.owners[owner].dispatcher.handle_query(query, 'peer')

    @rule(index=st.integers(0, 20), stage=st.sampled_from(Stage), lost=st.booleans())
    def report(self, index: int, stage: Stage, lost: bool) -> None:
        if not self.asked:
            return
        request_id = list(self.asked)[index % len(self.asked)]
        if stage is Stage.ENDED:
            self.ended.add(request_id)
        if not lost:
            owner = self.owners[self.asked[request_id][0]]
            owner.dispatcher.handle_progress(DispatchProgress(request_id, stage))

    @rule(owner=st.integers(0, 1), is_owner_in_own_view=st.booleans())
    def change_owner(self, owner: int, is_owner_in_own_view: bool) -> None:
        self.owners[owner].is_owner_in_own_view = is_owner_in_own_view

    @rule(seconds=st.sampled_from([0.015, 0.1, 0.5, 1.5]))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)
        for owner in self.owners:
            owner.dispatcher.process_queue()

    @invariant()
    def grants_never_exceed_slots(self) -> None:
        for owner in getattr(self, 'owners', []):
            for load in owner.dispatcher._selector.loads.values():
                assert 0 <= load.calls <= SLOTS
                assert load.tokens == load.calls * 350
                assert (load.total_prefill_ms > 0) == bool(load.prefilling)

    @invariant()
    def granted_requests_are_counted_until_they_end(self) -> None:
        for owner in getattr(self, 'owners', []):
            granted = owner.dispatcher._granted._by_id
            assert owner.calls() == len(granted)
            assert not granted.keys() & set(owner.dispatcher._queue._by_id)

    @invariant()
    def every_query_is_answered(self) -> None:
        for request_id, (owner, _) in getattr(self, 'asked', {}).items():
            assert request_id in self.owners[owner].verdicts

    @rule()
    def all_capacity_is_released_after_expiry(self) -> None:
        """Holds regardless of how many reports were lost."""
        self.clock.advance(LEFT_S + GRANT_GRACE_S + QUEUED_TTL_S)
        for owner in self.owners:
            owner.dispatcher.process_queue()
            assert owner.calls() == 0
            assert owner.dispatcher.queue_length == 0
        self.ended.update(self.asked)

    @rule()
    def queued_request_is_granted_once_there_is_room(self) -> None:
        self.all_capacity_is_released_after_expiry()
        self.ask(0)
        request_id = list(self.asked)[-1]
        assert self.owners[0].verdicts[request_id].kind is VerdictKind.GRANTED


def test_grants_of_two_owners() -> None:
    run_state_machine_as_test(
        TwoOwnersMachine, settings=settings(max_examples=80, stateful_step_count=40, deadline=None)
    )

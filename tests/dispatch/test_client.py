"""The asking side: what becomes of a request, whoever dispatches and whatever it says."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from limeshelf.calls.call import ModelNeed, PromptPart
from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.client import DispatchClient
from limeshelf.dispatch.fallback import LOCAL
from limeshelf.dispatch.grants import Grant, GrantRequest, NoHolder, NoRoom
from limeshelf.dispatch.messages import (
    DispatchProgress,
    DispatchQuery,
    DispatchVerdict,
    Stage,
    VerdictKind,
)
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory

NEED = ModelNeed('m', '', 100, 50, 20, (PromptPart('p', 60), PromptPart('q', 40)))


def in_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run a test in an event loop of its own."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        asyncio.run(test(*args, **kwargs))

    return run


class Wire:
    """Stands for the connections: keeps what is sent, answers by a script."""

    def __init__(self, *script: VerdictKind | None) -> None:
        self.sent: list[tuple[str, Any]] = []
        self.script = list(script)
        self.deliver: Callable[[DispatchVerdict], None] = lambda verdict: None

    def send(self, address: str, message: Any) -> None:
        self.sent.append((address, message))
        if isinstance(message, DispatchQuery) and self.script:
            kind = self.script.pop(0)
            if kind is not None:
                self.deliver(DispatchVerdict(message.ticket_id, kind, 'r0', 70))

    def queries(self) -> list[str]:
        return [address for address, message in self.sent if isinstance(message, DispatchQuery)]

    def stages(self) -> list[tuple[str, Stage]]:
        return [
            (address, message.stage)
            for address, message in self.sent
            if isinstance(message, DispatchProgress)
        ]


def client_of(wire: Wire, leader: Callable[[], str | None] = lambda: 'g1') -> DispatchClient:
    node: Any = wire
    client = DispatchClient(node, ReplicaDirectory(read_record), lambda: None, leader, 'z1')
    wire.deliver = client._deliver
    return client


def request(left_s: float = 1.0) -> GrantRequest:
    return GrantRequest(
        ModelKey('lm', 'm'), NEED, 1, 0.5, left_s, 0.3, frozenset({'r2', 'r1'}), False
    )


@in_loop
async def test_granted_request_is_reported_as_read_and_ended_once_each() -> None:
    wire = Wire(VerdictKind.GRANTED)
    grant = await client_of(wire).ask(request())
    assert isinstance(grant, Grant)
    assert grant.replica_id == 'r0'
    assert wire.stages() == []
    grant.report_read()
    grant.report_read()
    grant.report_ended()
    assert wire.stages() == [('g1', Stage.READ), ('g1', Stage.ENDED)]


@in_loop
async def test_query_carries_the_blocks_that_other_calls_share() -> None:
    wire = Wire(VerdictKind.GRANTED)
    await client_of(wire).ask(request())
    query = wire.sent[0][1]
    assert [(part.part_id, part.tokens) for part in query.parts] == [('p', 60)]
    assert query.excluded == ['r1', 'r2']
    assert 490 <= query.objective_ms <= 500
    assert 990 <= query.left_ms <= 1000


@pytest.mark.parametrize(
    ('kind', 'outcome'),
    [(VerdictKind.ABSENT, NoHolder()), (VerdictKind.REFUSED, NoRoom(wait_s=0.07))],
)
@in_loop
async def test_request_without_a_grant_is_withdrawn(
    kind: VerdictKind, outcome: NoHolder | NoRoom
) -> None:
    wire = Wire(kind)
    assert await client_of(wire).ask(request()) == outcome
    assert wire.stages() == [('g1', Stage.ENDED)]


@in_loop
async def test_queued_request_waits_for_its_grant() -> None:
    wire = Wire(VerdictKind.QUEUED)
    client = client_of(wire)
    asked = asyncio.create_task(client.ask(request()))
    await asyncio.sleep(0)
    request_id = wire.sent[0][1].ticket_id
    client._deliver(DispatchVerdict(request_id, VerdictKind.GRANTED, 'r1'))
    grant = await asked
    assert isinstance(grant, Grant)
    assert grant.replica_id == 'r1'
    assert wire.queries() == ['g1']


@in_loop
async def test_queued_request_is_sent_again_and_ends_with_its_time() -> None:
    wire = Wire(VerdictKind.QUEUED, VerdictKind.QUEUED)
    assert await client_of(wire).ask(request(left_s=0.4)) == NoRoom(wait_s=0.5)
    assert wire.queries() == ['g1', 'g1']
    assert wire.stages() == [('g1', Stage.ENDED)]


@in_loop
async def test_silent_dispatcher_loses_the_request_to_this_process() -> None:
    wire = Wire(None)
    assert await client_of(wire).ask(request()) == NoHolder()
    assert wire.queries() == ['g1']
    assert wire.stages() == [('g1', Stage.ENDED)]


@in_loop
async def test_new_dispatcher_gets_the_request_and_the_old_one_forgets_it() -> None:
    leaders = ['g1', 'g1', 'g2']
    wire = Wire(VerdictKind.QUEUED, VerdictKind.GRANTED)
    grant = await client_of(wire, lambda: leaders.pop(0)).ask(request())
    assert isinstance(grant, Grant)
    assert wire.queries() == ['g1', 'g2']
    assert wire.stages() == [('g1', Stage.ENDED)]
    grant.report_ended()
    assert wire.stages()[-1] == ('g2', Stage.ENDED)


@in_loop
async def test_cancelled_request_is_withdrawn() -> None:
    wire = Wire(VerdictKind.QUEUED)
    asked = asyncio.create_task(client_of(wire).ask(request()))
    await asyncio.sleep(0)
    asked.cancel()
    with pytest.raises(asyncio.CancelledError):
        await asked
    assert wire.stages() == [('g1', Stage.ENDED)]


@in_loop
async def test_request_without_time_left_is_not_sent() -> None:
    wire = Wire()
    assert await client_of(wire).ask(request(left_s=0.0)) == NoRoom(wait_s=0.5)
    assert wire.queries() == []


@in_loop
async def test_own_dispatcher_is_asked_without_the_network() -> None:
    wire = Wire()
    assert await client_of(wire, lambda: LOCAL).ask(request()) == NoHolder()
    assert wire.sent == []

"""The asking side: what becomes of a request, whoever dispatches and whatever it says."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from limeshelf.calls.call import ModelNeed, PromptPart
from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.client import HOP_S, MAX_OWNERS_ASKED, DispatchClient
from limeshelf.dispatch.exchange import DispatchExchange
from limeshelf.dispatch.fallback import ANSWER_TIMEOUT_S
from limeshelf.dispatch.grants import Grant, GrantRequest, NoHolder, NoRoom
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


def directory_of(*data_centres: str) -> ReplicaDirectory:
    """Return replicas r0, r1 and so on, each in a data centre, that hold the model."""
    directory = ReplicaDirectory(read_record)
    for number, data_centre in enumerate(data_centres):
        record = ReplicaRecord(
            f'r{number}', 'lm', f'ip:{number}', data_centre, 4, False, None, (Holding('m'),), 1
        )
        directory.take_record(record)
    return directory


def client_of(
    wire: Wire,
    owner_of: Callable[[str], str | None] = lambda data_centre: 'g1',
    *,
    data_centres: tuple[str, ...] = ('z1',),
) -> DispatchClient:
    node: Any = wire
    directory = directory_of(*data_centres)
    exchange = DispatchExchange(node, directory, lambda: None, owner_of, 'z1')
    wire.deliver = exchange.deliver
    return DispatchClient(exchange, directory, owner_of, 'z1')


def request(
    left_s: float = 1.0, excluded: frozenset[str] = frozenset({'r2', 'r1'})
) -> GrantRequest:
    return GrantRequest(ModelKey('lm', 'm'), NEED, 1, 0.5, left_s, 0.3, excluded, False)


def for_any(left_s: float = 1.0) -> GrantRequest:
    """Return a request that excludes no replica."""
    return request(left_s, frozenset())


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
async def test_final_verdict_is_the_outcome(kind: VerdictKind, outcome: NoHolder | NoRoom) -> None:
    """Who refused a request has forgotten it, so nothing is withdrawn."""
    wire = Wire(kind)
    assert await client_of(wire).ask(request()) == outcome
    assert wire.queries() == ['g1']
    assert wire.stages() == []


@in_loop
async def test_queued_request_waits_for_its_grant() -> None:
    wire = Wire(VerdictKind.QUEUED)
    client = client_of(wire)
    asked = asyncio.create_task(client.ask(request()))
    await asyncio.sleep(0)
    request_id = wire.sent[0][1].ticket_id
    client._exchange.deliver(DispatchVerdict(request_id, VerdictKind.GRANTED, 'r1'))
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
    client = client_of(wire)
    local: list[str] = []
    exchange = client._exchange
    exchange.dispatcher.take_query = lambda query, asker: _grant_locally(exchange, local, query)  # type: ignore[method-assign]
    grant = await client.ask(request())
    assert isinstance(grant, Grant)
    assert wire.queries() == ['g1']
    assert len(local) == 1
    assert wire.stages() == [('g1', Stage.ENDED)]


def _grant_locally(exchange: DispatchExchange, local: list[str], query: DispatchQuery) -> None:
    local.append(query.ticket_id)
    exchange.deliver(DispatchVerdict(query.ticket_id, VerdictKind.GRANTED, 'r0'))


@in_loop
async def test_new_dispatcher_gets_the_request_and_the_old_one_forgets_it() -> None:
    owners = ['g1', 'g2']
    wire = Wire(VerdictKind.QUEUED, VerdictKind.GRANTED)
    grant = await client_of(wire, lambda data_centre: owners.pop(0)).ask(request())
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
    client = client_of(wire, lambda data_centre: LOCAL)
    assert await client.ask(request(left_s=0.05)) == NoRoom(wait_s=0.5)
    assert wire.sent == []


@in_loop
async def test_nobody_is_asked_for_what_no_replica_holds() -> None:
    wire = Wire()
    assert await client_of(wire, data_centres=()).ask(request()) == NoHolder()
    assert wire.sent == []


@in_loop
async def test_owner_that_refuses_is_followed_by_another() -> None:
    wire = Wire(VerdictKind.REFUSED, VerdictKind.GRANTED)
    client = client_of(wire, lambda data_centre: f'owner-{data_centre}', data_centres=('z1', 'z2'))
    assert isinstance(await client.ask(for_any()), Grant)
    assert sorted(wire.queries()) == ['owner-z1', 'owner-z2']
    tickets = [message.ticket_id for _, message in wire.sent]
    assert tickets[0] != tickets[1]


@in_loop
async def test_all_that_refuse_give_the_shortest_wait() -> None:
    wire = Wire(VerdictKind.ABSENT, VerdictKind.REFUSED)
    client = client_of(wire, lambda data_centre: f'owner-{data_centre}', data_centres=('z1', 'z2'))
    assert await client.ask(for_any()) == NoRoom(wait_s=0.07)


@in_loop
async def test_no_more_than_some_owners_are_asked_for_a_call() -> None:
    wire = Wire(*[VerdictKind.REFUSED] * 9)
    centres = tuple(f'z{number}' for number in range(1, 8))
    client = client_of(wire, lambda data_centre: f'owner-{data_centre}', data_centres=centres)
    assert await client.ask(for_any()) == NoRoom(wait_s=0.07)
    assert len(set(wire.queries())) == len(wire.queries()) == MAX_OWNERS_ASKED


@in_loop
async def test_late_verdict_of_an_owner_is_not_taken_for_that_of_the_next() -> None:
    owners = ['g1']
    wire = Wire(VerdictKind.QUEUED, VerdictKind.QUEUED)
    client = client_of(wire, lambda data_centre: owners[0])
    asked = asyncio.create_task(client.ask(request(left_s=0.45)))
    await asyncio.sleep(0.05)
    owners[0] = 'g2'
    await asyncio.sleep(0.25)
    assert wire.queries() == ['g1', 'g2']
    first = wire.sent[0][1].ticket_id
    wire.deliver(DispatchVerdict(first, VerdictKind.GRANTED, 'r0'))
    assert await asked == NoRoom(wait_s=0.5)


@in_loop
async def test_own_dispatcher_is_told_what_others_may_grant() -> None:
    wire = Wire()
    owners = {'z1': LOCAL, 'z2': 'g2'}
    client = client_of(wire, owners.__getitem__, data_centres=('z1', 'z2'))
    queries: list[DispatchQuery] = []
    client._exchange.dispatcher.take_query = lambda query, asker: queries.append(query)  # type: ignore[method-assign]
    busy = client._owners.directory.get('r1')
    assert busy is not None
    busy.own.calls = 4
    await client.ask(for_any(left_s=0.05))
    assert queries[0].excluded == ['r1']


@in_loop
async def test_request_that_waits_is_taken_to_owners_that_were_not_asked() -> None:
    """Before, it waited at one owner while replicas of another one were free."""
    wire = Wire(VerdictKind.QUEUED, VerdictKind.QUEUED, VerdictKind.GRANTED)
    centres = ('z1', 'z2', 'z3')
    client = client_of(wire, lambda data_centre: f'owner-{data_centre}', data_centres=centres)
    began_s = asyncio.get_running_loop().time()
    grant = await client.ask(for_any())
    assert isinstance(grant, Grant)
    assert asyncio.get_running_loop().time() - began_s < 3 * HOP_S + ANSWER_TIMEOUT_S
    assert sorted(wire.queries()) == [f'owner-{one}' for one in centres]
    assert [stage for _, stage in wire.stages()] == [Stage.ENDED, Stage.ENDED]


@in_loop
async def test_request_that_all_have_queued_stays_where_the_wait_is_shortest() -> None:
    wire = Wire()
    client = client_of(
        wire, lambda data_centre: f'owner-{data_centre}', data_centres=('z1', 'z2', 'z3')
    )
    waits_ms = {'owner-z1': 90, 'owner-z2': 30, 'owner-z3': 60}

    def send(address: str, message: Any) -> None:
        wire.sent.append((address, message))
        if isinstance(message, DispatchQuery):
            verdict = DispatchVerdict(message.ticket_id, VerdictKind.QUEUED, '', waits_ms[address])
            wire.deliver(verdict)

    wire.send = send  # type: ignore[method-assign]
    asked = asyncio.create_task(client.ask(for_any(left_s=2.0)))
    await asyncio.sleep(4 * HOP_S + 0.05)
    assert wire.queries()[3:] == ['owner-z2']
    asked.cancel()

"""The dispatch client: outcome of a request for each behaviour of the owners it queries."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from limeshelf.calls.call import ModelNeed, PromptPart
from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.client import MAX_OWNERS_ASKED, NEXT_OWNER_DELAY_S, DispatchClient
from limeshelf.dispatch.exchange import DispatchExchange
from limeshelf.dispatch.fallback import ANSWER_TIMEOUT_S
from limeshelf.dispatch.grants import Grant, GrantRequest, NoCapacity, NoHolder
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


class FakeNode:
    """Peer node that records sent messages and answers queries from a script."""

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
    """Return a directory of replicas r0, r1, ..., one per data centre, that hold the model."""
    directory = ReplicaDirectory(read_record)
    for number, data_centre in enumerate(data_centres):
        record = ReplicaRecord(
            f'r{number}', 'lm', f'ip:{number}', data_centre, 4, False, None, (Holding('m'),), 1
        )
        directory.apply_record(record)
    return directory


def client_of(
    node: FakeNode,
    owner_of: Callable[[str], str | None] = lambda data_centre: 'g1',
    *,
    data_centres: tuple[str, ...] = ('z1',),
) -> DispatchClient:
    any_node: Any = node
    directory = directory_of(*data_centres)
    exchange = DispatchExchange(any_node, directory, lambda: None, owner_of, 'z1')
    node.deliver = exchange.deliver
    return DispatchClient(exchange, directory, owner_of, 'z1')


def request(
    left_s: float = 1.0, excluded: frozenset[str] = frozenset({'r2', 'r1'})
) -> GrantRequest:
    return GrantRequest(ModelKey('lm', 'm'), NEED, 1, 0.5, left_s, 0.3, excluded, False)


def for_any(left_s: float = 1.0) -> GrantRequest:
    """Return a request that excludes no replica."""
    return request(left_s, frozenset())


@in_loop
async def test_granted_request_is_reported_as_prefilled_and_ended_once_each() -> None:
    node = FakeNode(VerdictKind.GRANTED)
    grant = await client_of(node).request_replica(request())
    assert isinstance(grant, Grant)
    assert grant.replica_id == 'r0'
    assert node.stages() == []
    grant.report_prefilled()
    grant.report_prefilled()
    grant.report_ended()
    assert node.stages() == [('g1', Stage.READ), ('g1', Stage.ENDED)]


@in_loop
async def test_query_carries_the_blocks_that_other_calls_share() -> None:
    node = FakeNode(VerdictKind.GRANTED)
    await client_of(node).request_replica(request())
    query = node.sent[0][1]
    assert [(part.part_id, part.tokens) for part in query.parts] == [('p', 60)]
    assert query.excluded == ['r1', 'r2']
    assert 490 <= query.objective_ms <= 500
    assert 990 <= query.left_ms <= 1000


@pytest.mark.parametrize(
    ('kind', 'outcome'),
    [(VerdictKind.ABSENT, NoHolder()), (VerdictKind.REFUSED, NoCapacity(wait_s=0.07))],
)
@in_loop
async def test_final_verdict_is_the_outcome(
    kind: VerdictKind, outcome: NoHolder | NoCapacity
) -> None:
    """An owner that refused a request no longer has it, so nothing is withdrawn."""
    node = FakeNode(kind)
    assert await client_of(node).request_replica(request()) == outcome
    assert node.queries() == ['g1']
    assert node.stages() == []


@in_loop
async def test_queued_request_waits_for_its_grant() -> None:
    node = FakeNode(VerdictKind.QUEUED)
    client = client_of(node)
    asked = asyncio.create_task(client.request_replica(request()))
    await asyncio.sleep(0)
    request_id = node.sent[0][1].ticket_id
    client._exchange.deliver(DispatchVerdict(request_id, VerdictKind.GRANTED, 'r1'))
    grant = await asked
    assert isinstance(grant, Grant)
    assert grant.replica_id == 'r1'
    assert node.queries() == ['g1']


@in_loop
async def test_queued_request_is_sent_again_until_its_deadline() -> None:
    node = FakeNode(VerdictKind.QUEUED, VerdictKind.QUEUED)
    assert await client_of(node).request_replica(request(left_s=0.4)) == NoCapacity(wait_s=0.5)
    assert node.queries() == ['g1', 'g1']
    assert node.stages() == [('g1', Stage.ENDED)]


@in_loop
async def test_request_falls_back_to_this_process_if_dispatcher_does_not_answer() -> None:
    node = FakeNode(None)
    client = client_of(node)
    local: list[str] = []
    exchange = client._exchange
    exchange.dispatcher.handle_query = lambda query, requester: _grant_locally(
        exchange, local, query
    )  # type: ignore[method-assign]
    grant = await client.request_replica(request())
    assert isinstance(grant, Grant)
    assert node.queries() == ['g1']
    assert len(local) == 1
    assert node.stages() == [('g1', Stage.ENDED)]


def _grant_locally(exchange: DispatchExchange, local: list[str], query: DispatchQuery) -> None:
    local.append(query.ticket_id)
    exchange.deliver(DispatchVerdict(query.ticket_id, VerdictKind.GRANTED, 'r0'))


@in_loop
async def test_request_is_withdrawn_from_previous_owner_when_owner_changes() -> None:
    owners = ['g1', 'g2']
    node = FakeNode(VerdictKind.QUEUED, VerdictKind.GRANTED)
    grant = await client_of(node, lambda data_centre: owners.pop(0)).request_replica(request())
    assert isinstance(grant, Grant)
    assert node.queries() == ['g1', 'g2']
    assert node.stages() == [('g1', Stage.ENDED)]
    grant.report_ended()
    assert node.stages()[-1] == ('g2', Stage.ENDED)


@in_loop
async def test_cancelled_request_is_withdrawn() -> None:
    node = FakeNode(VerdictKind.QUEUED)
    asked = asyncio.create_task(client_of(node).request_replica(request()))
    await asyncio.sleep(0)
    asked.cancel()
    with pytest.raises(asyncio.CancelledError):
        await asked
    assert node.stages() == [('g1', Stage.ENDED)]


@in_loop
async def test_request_without_time_left_is_not_sent() -> None:
    node = FakeNode()
    assert await client_of(node).request_replica(request(left_s=0.0)) == NoCapacity(wait_s=0.5)
    assert node.queries() == []


@in_loop
async def test_local_dispatcher_is_queried_without_the_network() -> None:
    node = FakeNode()
    client = client_of(node, lambda data_centre: LOCAL)
    assert await client.request_replica(request(left_s=0.05)) == NoCapacity(wait_s=0.5)
    assert node.sent == []


@in_loop
async def test_no_query_is_sent_if_no_replica_holds_the_model() -> None:
    node = FakeNode()
    assert await client_of(node, data_centres=()).request_replica(request()) == NoHolder()
    assert node.sent == []


@in_loop
async def test_second_owner_is_queried_after_a_refusal() -> None:
    node = FakeNode(VerdictKind.REFUSED, VerdictKind.GRANTED)
    client = client_of(node, lambda data_centre: f'owner-{data_centre}', data_centres=('z1', 'z2'))
    assert isinstance(await client.request_replica(for_any()), Grant)
    assert sorted(node.queries()) == ['owner-z1', 'owner-z2']
    tickets = [message.ticket_id for _, message in node.sent]
    assert tickets[0] != tickets[1]


@in_loop
async def test_wait_is_the_shortest_of_all_refusals() -> None:
    node = FakeNode(VerdictKind.ABSENT, VerdictKind.REFUSED)
    client = client_of(node, lambda data_centre: f'owner-{data_centre}', data_centres=('z1', 'z2'))
    assert await client.request_replica(for_any()) == NoCapacity(wait_s=0.07)


@in_loop
async def test_number_of_owners_queried_for_a_call_is_limited() -> None:
    node = FakeNode(*[VerdictKind.REFUSED] * 9)
    centres = tuple(f'z{number}' for number in range(1, 8))
    client = client_of(node, lambda data_centre: f'owner-{data_centre}', data_centres=centres)
    assert await client.request_replica(for_any()) == NoCapacity(wait_s=0.07)
    assert len(set(node.queries())) == len(node.queries()) == MAX_OWNERS_ASKED


@in_loop
async def test_late_verdict_of_previous_owner_is_ignored() -> None:
    owners = ['g1']
    node = FakeNode(VerdictKind.QUEUED, VerdictKind.QUEUED)
    client = client_of(node, lambda data_centre: owners[0])
    asked = asyncio.create_task(client.request_replica(request(left_s=0.45)))
    await asyncio.sleep(0.05)
    owners[0] = 'g2'
    await asyncio.sleep(0.25)
    assert node.queries() == ['g1', 'g2']
    first = node.sent[0][1].ticket_id
    node.deliver(DispatchVerdict(first, VerdictKind.GRANTED, 'r0'))
    assert await asked == NoCapacity(wait_s=0.5)


@in_loop
async def test_local_query_excludes_replicas_of_other_owners() -> None:
    node = FakeNode()
    owners = {'z1': LOCAL, 'z2': 'g2'}
    client = client_of(node, owners.__getitem__, data_centres=('z1', 'z2'))
    queries: list[DispatchQuery] = []
    client._exchange.dispatcher.handle_query = lambda query, requester: queries.append(query)  # type: ignore[method-assign]
    busy = client._owners.directory.get('r1')
    assert busy is not None
    busy.own_load.calls = 4
    await client.request_replica(for_any(left_s=0.05))
    assert queries[0].excluded == ['r1']


@in_loop
async def test_queued_request_moves_on_to_owners_not_queried_yet() -> None:
    """Guards against waiting at one owner while replicas of another one are free."""
    node = FakeNode(VerdictKind.QUEUED, VerdictKind.QUEUED, VerdictKind.GRANTED)
    centres = ('z1', 'z2', 'z3')
    client = client_of(node, lambda data_centre: f'owner-{data_centre}', data_centres=centres)
    began_s = asyncio.get_running_loop().time()
    grant = await client.request_replica(for_any())
    assert isinstance(grant, Grant)
    assert asyncio.get_running_loop().time() - began_s < 3 * NEXT_OWNER_DELAY_S + ANSWER_TIMEOUT_S
    assert sorted(node.queries()) == [f'owner-{centre}' for centre in centres]
    assert [stage for _, stage in node.stages()] == [Stage.ENDED, Stage.ENDED]


@in_loop
async def test_request_queued_by_all_owners_stays_at_the_shortest_wait() -> None:
    node = FakeNode()
    client = client_of(
        node, lambda data_centre: f'owner-{data_centre}', data_centres=('z1', 'z2', 'z3')
    )
    waits_ms = {'owner-z1': 90, 'owner-z2': 30, 'owner-z3': 60}

    def send(address: str, message: Any) -> None:
        node.sent.append((address, message))
        if isinstance(message, DispatchQuery):
            verdict = DispatchVerdict(message.ticket_id, VerdictKind.QUEUED, '', waits_ms[address])
            node.deliver(verdict)

    node.send = send  # type: ignore[method-assign]
    asked = asyncio.create_task(client.request_replica(for_any(left_s=2.0)))
    await asyncio.sleep(4 * NEXT_OWNER_DELAY_S + 0.05)
    assert node.queries()[3:] == ['owner-z2']
    asked.cancel()

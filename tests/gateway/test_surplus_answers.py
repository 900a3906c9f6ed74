"""Surplus answers of a faulty replica that arrive where the answer to a later call is due."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest
from aiohttp import web

from limeshelf.gateway import call_log
from standins.users_platform.replica import ReplicaStandIn
from tests.support.gateway import GatewayWorld

if TYPE_CHECKING:
    from collections.abc import Callable

#: How long the replica runs a call, so that the surplus answer arrives apart from its own answer.
WORK_S = 0.03
#: Statuses that promise the caller that the call has not run and never will.
PROMISES = (408, 421, 429, 503)


def refusal(status: int, call_id: str | None) -> bytes:
    """Return a whole refusal as a replica sends it."""
    lines = [f'HTTP/1.1 {status} Refused', 'Limeshelf-Not-Executed: 1', 'Content-Length: 0']
    if call_id is not None:
        lines.append(f'Limeshelf-Attempt-Id: {call_id}')
    return '\r\n'.join([*lines, '', '']).encode()


class SurplusReplica(ReplicaStandIn):
    """Sends a surplus answer before the answer to a call that it runs.

    :param surplus: returns the surplus answer from the id of the preceding call on the connection,
        which is ``None`` for the first one, and that of the call; empty for none.
    :ivar calls_by_connection: ids of the calls that arrived on each connection.
    """

    def __init__(self, replica_id: str, surplus: Callable[[str | None, str], bytes]) -> None:
        super().__init__(replica_id)
        self.work_s = WORK_S
        self._surplus = surplus
        self.calls_by_connection: dict[object, list[str]] = {}

    def has_reused_connection(self) -> bool:
        """Return whether a call met a surplus answer."""
        return any(len(ids) > 1 for ids in self.calls_by_connection.values())

    async def _call(self, request: web.BaseRequest, call_id: str) -> web.StreamResponse:
        assert request.transport is not None
        earlier = self.calls_by_connection.setdefault(request.transport, [])
        surplus = self._surplus(earlier[-1] if earlier else None, call_id)
        earlier.append(call_id)
        request.transport.write(surplus)
        return await super()._call(request, call_id)


def sound_replica() -> ReplicaStandIn:
    """Return a replica that is as fast as the faulty ones, so that both get calls."""
    replica = ReplicaStandIn('p-2')
    replica.work_s = WORK_S
    return replica


class RepeatingReplica(ReplicaStandIn):
    """Refuses the first attempt of a call, and sends a second copy of that with the next call."""

    def __init__(self, replica_id: str, status: int, models: list[str] | None = None) -> None:
        super().__init__(replica_id, models)
        self.work_s = WORK_S
        self._status = status
        self._refused: set[str] = set()
        self._copies: dict[object, bytes] = {}

    async def _call(self, request: web.BaseRequest, call_id: str) -> web.StreamResponse:
        assert request.transport is not None
        request.transport.write(self._copies.pop(request.transport, b''))
        if call_id not in self._refused:
            self._refused.add(call_id)
            self._copies[request.transport] = refusal(self._status, call_id)
            return self._refusal(self._status, call_id)
        return await super()._call(request, call_id)


class ReplicaWorld(GatewayWorld):
    """A gateway in front of one faulty replica of a plain service and maybe another one."""

    def __init__(self, *plain: ReplicaStandIn) -> None:
        super().__init__()
        self.plain = list(plain)

    def runs(self) -> list[str]:
        """Return the ids of all calls that a replica has run, once for each run."""
        return [call_id for replica in self.plain for call_id in replica.runs]


def run(scenario: Any, *plain: ReplicaStandIn) -> None:
    async def main() -> None:
        async with ReplicaWorld(*plain) as world:
            await scenario(world)

    asyncio.run(main())


def always() -> bool:
    """Return true: any number of calls will do."""
    return True


async def make_calls(
    world: ReplicaWorld, path: str, met: Callable[[], bool] = always
) -> dict[str, int]:
    """Return the status of each call, of 12 or more until several calls met a surplus answer."""
    statuses: dict[str, int] = {}
    while len(statuses) < 12 or not met():
        assert len(statuses) < 200
        call_id = f'x{len(statuses)}'
        statuses[call_id] = (await world.call(path, Limeshelf_Attempt_Id=call_id)).status
    return statuses


def assert_promises_hold(world: ReplicaWorld, statuses: dict[str, int]) -> None:
    """Check that no call ran twice, and that none ran whose caller was told that it had not."""
    runs = world.runs()
    assert len(set(runs)) == len(runs), 'ran twice'
    refused = {call_id for call_id, status in statuses.items() if status in PROMISES}
    assert not refused & set(runs), 'refused though run'


@pytest.mark.parametrize('status', [421, 503, 429])
def test_refusal_of_an_earlier_call_says_nothing_of_the_next_one(status: int) -> None:
    # The call was sent to a second replica, or refused, although the first one ran it.
    def surplus(earlier: str | None, call_id: str) -> bytes:
        return refusal(status, earlier) if earlier is not None else b''

    faulty = SurplusReplica('p-1', surplus)

    async def scenario(world: ReplicaWorld) -> None:
        statuses = await make_calls(world, '/unsafe/x', faulty.has_reused_connection)
        assert_promises_hold(world, statuses)

    run(scenario, faulty, sound_replica())


def test_attempt_line_names_the_call_of_a_foreign_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    def surplus(earlier: str | None, call_id: str) -> bytes:
        return refusal(421, earlier) if earlier is not None else b''

    lines: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(
        call_log, 'log_request', lambda event, **fields: lines.append((event, fields))
    )
    faulty = SurplusReplica('p-1', surplus)

    async def scenario(world: ReplicaWorld) -> None:
        await make_calls(world, '/unsafe/x', faulty.has_reused_connection)

    run(scenario, faulty, sound_replica())
    foreign = [
        fields for event, fields in lines if event == 'attempt' and fields['answer_id'] is not None
    ]
    assert foreign
    for fields in foreign:
        assert (fields['detail'], fields['status']) == ('foreign_answer', 421)
        assert [fields['answer_id'], fields['request']] in faulty.calls_by_connection.values()


@pytest.mark.parametrize('status', [421, 503])
def test_connection_with_a_foreign_answer_carries_no_further_call(status: int) -> None:
    # The answer to the first call, still due, then met the next call.
    def surplus(earlier: str | None, call_id: str) -> bytes:
        return refusal(status, earlier) if earlier is not None else b''

    faulty = SurplusReplica('p-1', surplus)

    async def scenario(world: ReplicaWorld) -> None:
        await make_calls(world, '/unsafe/x', faulty.has_reused_connection)
        met = [ids for ids in faulty.calls_by_connection.values() if len(ids) > 1]
        assert all(len(ids) == 2 for ids in met)

    run(scenario, faulty, sound_replica())


@pytest.mark.parametrize('status', [503, 429])
def test_copy_of_a_refusal_says_nothing_of_a_later_attempt_of_the_same_call(status: int) -> None:
    # The call was sent once more, or refused, although its second attempt ran.
    faulty = RepeatingReplica('p-1', status)

    async def scenario(world: ReplicaWorld) -> None:
        statuses = await make_calls(world, '/unsafe/x')
        assert_promises_hold(world, statuses)
        assert 200 in statuses.values()

    run(scenario, faulty)


#: As another replica at the address sends it.
UNNAMED_MISDIRECTED = (
    b'HTTP/1.1 421 Misdirected Request\r\nLimeshelf-Instance-Id: i-2\r\nContent-Length: 0\r\n\r\n'
)


def test_answer_421_without_an_id_says_nothing_of_a_call_on_a_used_connection() -> None:
    # The call was sent to a second replica although the first one ran it.
    def surplus(earlier: str | None, call_id: str) -> bytes:
        return UNNAMED_MISDIRECTED if earlier is not None else b''

    faulty = SurplusReplica('p-1', surplus)

    async def scenario(world: ReplicaWorld) -> None:
        statuses = await make_calls(world, '/unsafe/x', faulty.has_reused_connection)
        assert_promises_hold(world, statuses)

    run(scenario, faulty, sound_replica())


class OtherReplica(ReplicaStandIn):
    """Another replica that has taken over the address, and says so without an id."""

    async def _call(self, request: web.BaseRequest, call_id: str) -> web.StreamResponse:
        return web.Response(status=421, headers={'Limeshelf-Instance-Id': 'i-2'})


def test_call_goes_on_from_another_replica_at_the_address_that_names_no_call() -> None:
    async def scenario(world: ReplicaWorld) -> None:
        statuses = await make_calls(world, '/unsafe/x')
        assert set(statuses.values()) == {200}
        assert len(world.runs()) == len(statuses)

    run(scenario, OtherReplica('p-1'), sound_replica())

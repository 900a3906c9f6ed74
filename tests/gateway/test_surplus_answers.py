"""Surplus answers of a faulty replica that arrive where the answer to a later call is due."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from standins.users_platform.replica import ReplicaStandIn
from tests.support.gateway import GatewayWorld

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

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

    async def _call(self, request: web.BaseRequest, call_id: str) -> web.StreamResponse:
        assert request.transport is not None
        earlier = self.calls_by_connection.setdefault(request.transport, [])
        surplus = self._surplus(earlier[-1] if earlier else None, call_id)
        earlier.append(call_id)
        request.transport.write(surplus)
        return await super()._call(request, call_id)


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


async def call_until_surplus(world: ReplicaWorld, path: str) -> dict[str, int]:
    """Return the status of each call, until several could have met a surplus answer."""
    statuses = {}
    for number in range(12):
        answer = await world.call(path, Limeshelf_Attempt_Id=f'x{number}')
        statuses[f'x{number}'] = answer.status
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
        statuses = await call_until_surplus(world, '/unsafe/x')
        assert any(len(ids) > 1 for ids in faulty.calls_by_connection.values())
        assert_promises_hold(world, statuses)

    run(scenario, faulty, ReplicaStandIn('p-2'))


@pytest.mark.parametrize('status', [421, 503])
def test_connection_with_a_foreign_answer_carries_no_further_call(status: int) -> None:
    # The answer to the first call, still due, then met the next call.
    def surplus(earlier: str | None, call_id: str) -> bytes:
        return refusal(status, earlier) if earlier is not None else b''

    faulty = SurplusReplica('p-1', surplus)

    async def scenario(world: ReplicaWorld) -> None:
        await call_until_surplus(world, '/unsafe/x')
        met = [ids for ids in faulty.calls_by_connection.values() if len(ids) > 1]
        assert met and all(len(ids) == 2 for ids in met)

    run(scenario, faulty, ReplicaStandIn('p-2'))


@pytest.mark.parametrize('status', [503, 429])
def test_copy_of_a_refusal_says_nothing_of_a_later_attempt_of_the_same_call(status: int) -> None:
    # The call was sent once more, or refused, although its second attempt ran.
    faulty = RepeatingReplica('p-1', status)

    async def scenario(world: ReplicaWorld) -> None:
        statuses = await call_until_surplus(world, '/unsafe/x')
        assert_promises_hold(world, statuses)
        assert 200 in statuses.values()

    run(scenario, faulty)

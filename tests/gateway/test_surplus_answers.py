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


class SurplusWorld(GatewayWorld):
    """A gateway in front of one faulty and one sound replica of a plain service."""

    def __init__(self, surplus: Callable[[str | None, str], bytes]) -> None:
        super().__init__()
        self.faulty = SurplusReplica('p-1', surplus)
        self.plain = [self.faulty, ReplicaStandIn('p-2')]

    def runs(self) -> list[str]:
        """Return the ids of all calls that a replica has run, once for each run."""
        return [call_id for replica in self.plain for call_id in replica.runs]


def run(scenario: Any, surplus: Callable[[str | None, str], bytes]) -> None:
    async def main() -> None:
        async with SurplusWorld(surplus) as world:
            await scenario(world)

    asyncio.run(main())


async def call_until_surplus(world: SurplusWorld, path: str) -> dict[str, int]:
    """Return the status of each call, until several could have met a surplus answer."""
    statuses = {}
    for number in range(12):
        answer = await world.call(path, Limeshelf_Attempt_Id=f'x{number}')
        statuses[f'x{number}'] = answer.status
    return statuses


def assert_promises_hold(world: SurplusWorld, statuses: dict[str, int]) -> None:
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

    async def scenario(world: SurplusWorld) -> None:
        statuses = await call_until_surplus(world, '/unsafe/x')
        assert any(len(ids) > 1 for ids in world.faulty.calls_by_connection.values())
        assert_promises_hold(world, statuses)

    run(scenario, surplus)


@pytest.mark.parametrize('status', [421, 503])
def test_connection_with_a_foreign_answer_carries_no_further_call(status: int) -> None:
    # The answer to the first call, still due, then met the next call.
    def surplus(earlier: str | None, call_id: str) -> bytes:
        return refusal(status, earlier) if earlier is not None else b''

    async def scenario(world: SurplusWorld) -> None:
        await call_until_surplus(world, '/unsafe/x')
        met = [ids for ids in world.faulty.calls_by_connection.values() if len(ids) > 1]
        assert met and all(len(ids) == 2 for ids in met)

    run(scenario, surplus)

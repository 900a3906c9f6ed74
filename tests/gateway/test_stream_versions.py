"""Streams go on only at replicas of the software version that began them."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from standins.users_platform.replica import Fault, ReplicaStandIn
from tests.support.gateway import HOST, GatewayWorld

STREAMS = 12


class BreakingReplica(ReplicaStandIn):
    """Breaks off the streams of some calls.

    :param begun: ids of the calls that have begun at any replica; those break off that are not
        among them. ``None`` for none.
    """

    def __init__(self, replica_id: str, version: str) -> None:
        super().__init__(replica_id, ['m1'])
        self.version = version
        self.event_s = 0.01
        self.begun: set[str] | None = None

    async def _run(
        self, request: web.BaseRequest, call_id: str, fault: Fault, streams: bool
    ) -> web.StreamResponse:
        if self.begun is not None and call_id not in self.begun:
            self.begun.add(call_id)
            fault = Fault.RESET_MIDWAY
        return await super()._run(request, call_id, fault, streams)


class VersionWorld(GatewayWorld):
    """A gateway in front of engines of which each has a software version."""

    def __init__(self, *versions: str) -> None:
        super().__init__()
        self.breaking = [
            BreakingReplica(f'e-{number}', version) for number, version in enumerate(versions)
        ]
        self.engines = list(self.breaking)

    def versions_of(self, *call_ids: str) -> set[str]:
        """Return the versions of the replicas that have run any of some calls."""
        return {engine.version for engine in self.engines if {*call_ids} & {*engine.runs}}

    def break_first_runs(self) -> None:
        """Let the stream of each call break off at the replica that begins it."""
        begun: set[str] = set()
        for engine in self.breaking:
            engine.begun = begun

    async def begin(self, call_id: str) -> None:
        """Begin a stream, whose caller goes away after its second event."""
        assert self.caller is not None
        headers = {
            'Host': HOST,
            'Limeshelf-Attempt-Id': call_id,
            'Limeshelf-Model': 'm1',
            'Limeshelf-Token-Count': '100,20',
        }
        url = f'http://127.0.0.1:{self.port}/resume/x'
        answer = await self.caller.post(url, headers=headers)
        received = b''
        while b'id: 2' not in received:
            received += await answer.content.readany()
        answer.close()

    async def resume(self, call_id: str, resumes: str) -> int:
        """Take a stream up again; return the status."""
        answer = await self.generate(
            '/resume/x', Limeshelf_Attempt_Id=call_id, Last_Event_Id='2', Resumes=resumes
        )
        return answer.status


def run(scenario: Any, *versions: str) -> None:
    async def main() -> None:
        async with VersionWorld(*versions) as world:
            await scenario(world)

    asyncio.run(main())


def test_stream_that_breaks_off_goes_on_at_the_same_version() -> None:
    async def scenario(world: VersionWorld) -> None:
        world.break_first_runs()
        for number in range(STREAMS):
            answer = await world.generate('/resume/x', Limeshelf_Attempt_Id=f's{number}')
            assert answer.status == 200
            assert len(world.versions_of(f's{number}')) == 1

    run(scenario, 'v1.1', 'v1.1', 'v1.2', 'v1.2')


def test_stream_is_cut_off_rather_than_continued_at_another_version() -> None:
    async def scenario(world: VersionWorld) -> None:
        for engine in world.engines:
            engine.fault = Fault.RESET_MIDWAY
        with pytest.raises(aiohttp.ClientError):
            await world.generate('/resume/x', Limeshelf_Attempt_Id='s1')
        assert len(world.versions_of('s1')) == 1

    run(scenario, 'v1.1', 'v1.2')


def test_stream_that_its_caller_takes_up_again_goes_on_at_the_version_that_began_it() -> None:
    async def scenario(world: VersionWorld) -> None:
        for number in range(STREAMS):
            await world.begin(f's{number}')
            assert await world.resume(f'r{number}', f's{number}') == 200
            # A later try names the call that brought the first event, not the one before it.
            assert await world.resume(f'q{number}', f's{number}') == 200
            assert len(world.versions_of(f's{number}', f'r{number}', f'q{number}')) == 1

    run(scenario, 'v1.1', 'v1.1', 'v1.2', 'v1.2')


def test_stream_whose_origin_nobody_knows_is_refused_while_there_are_two_versions() -> None:
    async def scenario(world: VersionWorld) -> None:
        assert await world.resume('r1', 'unknown') == 503
        assert not world.versions_of('r1')

    run(scenario, 'v1.1', 'v1.2')


def test_stream_whose_origin_nobody_knows_goes_on_where_there_is_one_version() -> None:
    async def scenario(world: VersionWorld) -> None:
        assert await world.resume('r1', 'unknown') == 200

    run(scenario, 'v1.1', 'v1.1')


def test_stream_is_refused_at_once_when_no_replica_of_its_version_is_left() -> None:
    async def scenario(world: VersionWorld) -> None:
        await world.begin('s1')
        (version,) = world.versions_of('s1')
        for engine in world.engines:
            if engine.version == version:
                world.announce(engine, 'draining', beat=2)
        directory = world.gateway.components.directory  # type: ignore[union-attr]
        await world.until(lambda: len(directory.of_service('lm')) == 1)
        began_s = asyncio.get_running_loop().time()
        assert await world.resume('r1', 's1') == 503
        assert asyncio.get_running_loop().time() - began_s < 0.3
        assert not world.versions_of('r1')

    run(scenario, 'v1.1', 'v1.2')


def test_stream_that_cannot_be_resumed_is_not_bound() -> None:
    async def scenario(world: VersionWorld) -> None:
        assert (await world.generate('/stream/x', Last_Event_Id='2')).status == 200

    run(scenario, 'v1.1', 'v1.2')

"""Streams that begin at one gateway and are taken up again at others, which never knew them."""

from __future__ import annotations

from tests.support.fleet import FleetWorld, run_fleet
from tests.support.gateway import HOST

STREAMS = 12


class VersionFleet(FleetWorld):
    """Three gateways in front of engines of two software versions."""

    def __init__(self) -> None:
        super().__init__(engines=6)
        for number, engine in enumerate(self.engines):
            engine.version = f'v1.{1 + number % 2}'
            engine.event_s = 0.02

    def versions_of(self, *call_ids: str) -> set[str]:
        """Return the versions of the replicas that have run any of some calls."""
        return {engine.version for engine in self.engines if {*call_ids} & {*engine.runs}}

    async def generate_until(self, number: int, until: bytes, headers: dict[str, str]) -> int:
        """Call a model through a gateway until some bytes have arrived; return the status."""
        assert self.caller is not None
        address = self.gateway_settings(number).calls_address
        all_headers = {
            'Host': HOST,
            'Limeshelf-Model': 'm1',
            'Limeshelf-Token-Count': '100,20',
            **headers,
        }
        async with self.caller.post(f'http://{address}/resume/x', headers=all_headers) as answer:
            received = b''
            while answer.status == 200 and until not in received:
                received += await answer.content.readany()
            return answer.status

    async def resume(self, number: int, call_id: str, resumes: str) -> int:
        """Take a stream up again through a gateway."""
        headers = {
            'Limeshelf-Attempt-Id': call_id,
            'Last-Event-Id': '2',
            'Resumes': resumes,
        }
        return await self.generate_until(number, b'id: 5', headers)


def test_streams_of_a_gateway_that_is_killed_go_on_elsewhere_at_their_version() -> None:
    async def scenario(world: VersionFleet) -> None:
        for number in range(STREAMS):
            headers = {'Limeshelf-Attempt-Id': f's{number}'}
            assert await world.generate_until(0, b'id: 2', headers) == 200
        await world.stop_gateway(0)
        await world.start_gateway(0)
        await world.until(world.all_know_all, limit_s=15.0)
        for number in range(STREAMS):
            for gateway in (0, 1, 2):
                call_id = f'r{number}-{gateway}'
                assert await world.resume(gateway, call_id, f's{number}') == 200
                assert len(world.versions_of(f's{number}', call_id)) == 1

    run_fleet(scenario, world_class=VersionFleet)

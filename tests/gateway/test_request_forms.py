"""Proper requests in forms that few clients use are not turned away as if they were wrong."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.gateway import HOST, GatewayWorld, run

PATH = '/safe/x%2Fy?a=b%20c'


async def send(world: GatewayWorld, target: str, host: str, call_id: str) -> int:
    """Send a call with this target and ``Host`` field; return the status."""
    reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
    writer.write(
        f'POST {target} HTTP/1.1\r\nHost: {host}\r\nLimeshelf-Attempt-Id: {call_id}\r\n'
        'Limeshelf-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n'.encode()
    )
    async with asyncio.timeout(3.0):
        line = await reader.readline()
    writer.close()
    return int(line.split()[1])


@pytest.mark.parametrize(
    ('target', 'host'),
    [
        (f'http://{HOST}{PATH}', HOST),
        (f'HTTP://{HOST}:80{PATH}', HOST),
        (f'http://{HOST}{PATH}', 'other.example'),
    ],
)
def test_absolute_form_is_served_like_the_origin_form(target: str, host: str) -> None:
    async def scenario(world: GatewayWorld) -> None:
        assert await send(world, target, host, 'absolute') == 200
        (received,) = [one for replica in world.plain for one in replica.received_calls]
        assert received.target == PATH
        assert received.headers['Host'].partition(':')[0] == HOST
        assert await send(world, f'http://{HOST}', host, 'no-path') == 404
        assert await send(world, f'http://other.example{PATH}', HOST, 'other') == 404

    run(scenario)

"""Requests over a limit are refused for good only by a configuration that is known to be current.

A newer configuration may have raised the limit; the caller of a 413 or 431 does not come back.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.support.gateway import HOST, GatewayWorld, configuration, run

#: After this time without the store, a copy is older than any change may take: 2 s.
OLD_COPY_S = 3.2
RETURN_S = 6.0
LARGE_BODY = b'x' * 20_000
LARGE_FIELD = 'x' * 6_000


async def send_large(world: GatewayWorld, part: str) -> int:
    """Return the status of a request whose head or body is over the limit."""
    if part == 'body':
        return (await world.call('/safe/x', body=LARGE_BODY)).status
    if part == 'fields':
        return (await world.call('/safe/x', X_Large=LARGE_FIELD)).status
    reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
    # The end of the head never comes, so only the connection can refuse it.
    writer.write(f'POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Large: {LARGE_FIELD}'.encode())
    async with asyncio.timeout(2.0):
        line = await reader.readline()
    writer.close()
    return int(line.split()[1])


@pytest.mark.parametrize(('part', 'status'), [('body', 413), ('fields', 431), ('head', 431)])
def test_limit_of_an_old_copy_does_not_deny_a_request(part: str, status: int) -> None:
    async def scenario(world: GatewayWorld) -> None:
        assert await send_large(world, part) == status
        world.store.faults.silent = True
        await asyncio.sleep(OLD_COPY_S)
        assert await send_large(world, part) == 503
        world.configure(configuration(2, MaxBodyBytes=30_000, MaxHeaderBytes=8_192))
        world.store.faults.silent = False
        await world.until(lambda: world.gateway.components.active_config.version == 2, RETURN_S)
        if part != 'head':
            assert await send_large(world, part) == 200

    run(scenario)

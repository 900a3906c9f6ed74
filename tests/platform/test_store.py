"""What the client of the store makes of an answer that it cannot use."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from aiohttp import web

from limeshelf.errors import PlatformUnknown
from limeshelf.platform.store import StoreClient

#: The value is no base64: its padding is missing.
MALFORMED = '{"Rows": [{"Key": "a", "Value": "abc", "ver": 1}], "ver": 1}'


def ask(status: int, text: str, call: Any) -> Any:
    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(status=status, text=text, content_type='application/json')

    async def play() -> Any:
        runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        store = StoreClient(f'127.0.0.1:{runner.addresses[0][1]}')
        try:
            return await call(store)
        finally:
            await store.close()
            await runner.cleanup()

    return asyncio.run(play())


@pytest.mark.parametrize(
    ('status', 'call'),
    [
        (200, lambda store: store.read('op')),
        (200, lambda store: store.changes('op', 0, 0.0)),
        (412, lambda store: store.write('op', 'a', b'', 0)),
    ],
)
def test_malformed_value_is_an_unknown_outcome(status: int, call: Any) -> None:
    """It reached the caller as an error that no caller of the store expects."""
    with pytest.raises(PlatformUnknown):
        ask(status, MALFORMED, call)

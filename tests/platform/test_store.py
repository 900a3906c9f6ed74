"""How the store client handles malformed responses."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from aiohttp import web

from limeshelf.errors import PlatformUnknown
from limeshelf.feeds.position import BEGINNING
from limeshelf.feeds.rows import ConditionFailed, Row
from limeshelf.platform.store import StoreClient
from tests.support.positions import make_position

#: The value is not valid base64: its padding is missing.
MALFORMED = '{"Rows": [{"Key": "a", "Value": "abc", "ver": 1}], "ver": 1}'


def call_store(status: int, text: str, call: Any) -> Any:
    async def respond(request: web.BaseRequest) -> web.Response:
        return web.Response(status=status, text=text, content_type='application/json')

    async def serve_and_call() -> Any:
        runner = web.ServerRunner(web.Server(respond), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        store = StoreClient(f'127.0.0.1:{runner.addresses[0][1]}')
        try:
            return await call(store)
        finally:
            await store.close()
            await runner.cleanup()

    return asyncio.run(serve_and_call())


@pytest.mark.parametrize(
    'call', [lambda store: store.read('op'), lambda store: store.changes('op', BEGINNING, 0.0)]
)
def test_malformed_value_is_read_as_an_empty_one(call: Any) -> None:
    """Otherwise one malformed value makes every read of the table fail, again and again."""
    page = call_store(200, MALFORMED, call)
    assert page.rows == (Row('a', b'', make_position(1)),)


def test_malformed_value_in_a_failed_condition_is_read_as_an_empty_one() -> None:
    with pytest.raises(ConditionFailed) as failed:
        call_store(412, MALFORMED, lambda store: store.write('op', 'a', b'', BEGINNING))
    assert failed.value.rows == (Row('a', b'', make_position(1)),)


def test_partial_page_without_a_readable_row_raises_platform_unknown() -> None:
    with pytest.raises(PlatformUnknown):
        call_store(200, '{"Rows": [7], "ver": 1, "more": true}', lambda store: store.read('op'))

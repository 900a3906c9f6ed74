"""Malformed and hostile HTTP: no crash, no foreign data, nothing at an upstream."""

from __future__ import annotations

import asyncio
import json

from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.errors import InvalidRequest
from limeshelf.standalone.entry.parse import parse_model_request
from tests.support.entry import entry_world

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
FIELDS = st.sampled_from(['model', 'messages', 'stream', 'max_tokens', 'user', 'limeshelf', 'n'])
RAW = [
    b'GET / HTTP/1.1\r\n\r\n',
    b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n',
    b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    b'GET /' + b'a' * 20_000 + b' HTTP/1.1\r\nHost: a\r\n\r\n',
    b'GET /v1/models HTTP/1.1\r\nHost: a\r\nX: ' + b'b' * 20_000 + b'\r\n\r\n',
    b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
    b'POST /book/x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nshort',
    b'GET /book/../../v1/models HTTP/1.1\r\nHost: a\r\n\r\n',
]


class PlainHeaders:
    """As much of a request as the parser looks at."""

    headers: dict[str, str] = {}  # noqa: RUF012


@given(st.dictionaries(FIELDS, JSON), st.booleans())
def test_any_json_is_parsed_or_refused_with_a_field(body: dict, chat: bool) -> None:
    data = json.dumps(body).encode()
    try:
        parse_model_request(PlainHeaders(), data, chat, 'r', 1.0)
    except InvalidRequest as error:
        assert error.field_name
        assert 400 <= error.status < 500


@given(st.binary(max_size=300))
def test_any_bytes_are_parsed_or_refused(data: bytes) -> None:
    try:
        parse_model_request(PlainHeaders(), data, True, 'r', 1.0)
    except InvalidRequest as error:
        assert error.field_name


async def send_raw(url: str, data: bytes) -> bytes:
    host, port = url.removeprefix('http://').split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        await writer.drain()
        async with asyncio.timeout(0.3):
            return await reader.read(65536)
    except (TimeoutError, ConnectionError):
        return b''
    finally:
        writer.close()


def test_hostile_requests_leave_the_server_serving() -> None:
    async def case() -> None:
        async with entry_world(body_timeout_s=0.2) as made:
            for data in RAW:
                answer = await send_raw(made.url, data)
                assert b'"object":"chat' not in answer
            assert made.engine_runs == 0
            status, _, _ = await made.chat(max_tokens=1)
            assert status == 200

    asyncio.run(case())


@settings(max_examples=25)
@given(st.lists(st.binary(min_size=1, max_size=200), min_size=1, max_size=5))
def test_random_bytes_leave_the_server_serving(pieces: list[bytes]) -> None:
    async def case() -> None:
        async with entry_world(body_timeout_s=0.2) as made:
            for piece in pieces:
                await asyncio.wait_for(send_raw(made.url, piece + b'\r\n\r\n'), 5)
            status, _, _ = await made.chat(max_tokens=1)
            assert status == 200

    asyncio.run(case())

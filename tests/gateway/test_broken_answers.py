"""Answers that end early, never end, or are no answers, byte by byte from a replica."""

from __future__ import annotations

import asyncio
import enum
import resource
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest

from standins.users_platform.replica import ReplicaStandIn
from tests.support.gateway import GatewayWorld
from tests.support.resets import reset_connection

if TYPE_CHECKING:
    from collections.abc import Iterator

HEAD = b'HTTP/1.1 200 OK\r\nLimeshelf-Attempt-Id: ID\r\nLimeshelf-Server-Stamp: s\r\n'
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
UNFRAMED = HEAD + b'Content-Type: text/plain\r\n\r\nwhole body'
UNFRAMED_STREAM = HEAD + b'Content-Type: text/event-stream\r\n\r\n' + EVENTS
CHUNK_BYTES = 1 << 16
#: Memory that an answer without end may take.
MAX_GROWTH_KB = 128 << 10


class End(enum.Enum):
    """What a replica does after its last byte."""

    CLOSE = enum.auto()
    RESET = enum.auto()
    #: Repeats the last bytes until the caller closes.
    REPEAT = enum.auto()
    #: The same, a little at a time.
    REPEAT_SLOWLY = enum.auto()


class ScriptedReplica(ReplicaStandIn):
    """Answers each call with the same bytes.

    :param script: ``ID`` stands for the id of the call.
    :param repeated: bytes that are repeated after the script.
    """

    def __init__(self, script: bytes, end: End, repeated: bytes = b'') -> None:
        super().__init__('p-1')
        self._script = script
        self._end = end
        self._repeated = repeated
        self.closed = asyncio.Event()

    async def start(self, port: int = 0) -> str:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self.address

    async def close(self) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            call_id = head.partition(b'Limeshelf-Attempt-Id: ')[2].partition(b'\r\n')[0]
            self.runs.append(call_id.decode())
            writer.write(self._script.replace(b'ID', call_id))
            await writer.drain()
            await self._finish(writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        self.closed.set()

    async def _finish(self, writer: asyncio.StreamWriter) -> None:
        if self._end is End.RESET:
            await asyncio.sleep(0.05)
            reset_connection(writer)
            return
        while self._end is not End.CLOSE:
            writer.write(self._repeated)
            await writer.drain()
            if self._end is End.REPEAT_SLOWLY:
                await asyncio.sleep(0.02)
        writer.close()


def _run(scenario: Any, replica: ScriptedReplica) -> None:
    class World(GatewayWorld):
        def __init__(self) -> None:
            super().__init__()
            self.plain = [replica]

    async def main() -> None:
        async with World() as world:
            await scenario(world)

    asyncio.run(main())


def _cut_heads() -> Iterator[bytes]:
    whole = HEAD + b'Content-Length: 2\r\n\r\nok'
    end = whole.index(b'\r\n\r\n') + 4
    for length in (0, 5, 15, 17, 30, len(HEAD), end - 3, end - 1, end, end + 1):
        yield whole[:length]


@pytest.mark.parametrize('end', [End.CLOSE, End.RESET])
@pytest.mark.parametrize('script', [*_cut_heads()], ids=len)
def test_answer_that_ends_in_its_head_or_body_never_looks_complete(
    script: bytes, end: End
) -> None:
    replica = ScriptedReplica(script, end)

    async def scenario(world: GatewayWorld) -> None:
        answer = await world.call('/unsafe/x')
        # It may have run, so it is neither repeated nor said not to have run.
        assert answer.status == 502
        assert len(replica.runs) == 1

    _run(scenario, replica)


@pytest.mark.parametrize(
    ('script', 'body'), [(UNFRAMED, b'whole body'), (UNFRAMED_STREAM, EVENTS)]
)
def test_answer_without_a_length_ends_with_its_connection(script: bytes, body: bytes) -> None:
    async def scenario(world: GatewayWorld) -> None:
        answer = await world.call('/unsafe/x')
        assert (answer.status, answer.body) == (200, body)

    _run(scenario, ScriptedReplica(script, End.CLOSE))


@pytest.mark.parametrize(
    ('script', 'end'),
    [
        (UNFRAMED, End.RESET),
        (UNFRAMED_STREAM, End.RESET),
        (UNFRAMED_STREAM[:-1], End.CLOSE),
        (UNFRAMED_STREAM[:-5], End.CLOSE),
        (UNFRAMED_STREAM[:-1], End.RESET),
    ],
)
def test_answer_without_a_length_that_is_broken_off_never_looks_complete(
    script: bytes, end: End
) -> None:
    async def scenario(world: GatewayWorld) -> None:
        try:
            answer = await world.call('/unsafe/x')
        except aiohttp.ClientError:
            return
        assert answer.status == 502

    _run(scenario, ScriptedReplica(script, end))


@pytest.mark.parametrize('slowly', [False, True], ids=['fast', 'slowly'])
@pytest.mark.parametrize(
    ('script', 'repeated'),
    [
        (b'HTTP/1.1 200 OK\r\n', b'X-Field: value\r\n'),
        (b'HTTP/1.1 200 OK\r\nX-Field: ', b'x'),
        (b'', b'x'),
        (HEAD + b'\r\n', b'x'),
        (HEAD + b'Content-Type: text/event-stream\r\n\r\n', b'x'),
    ],
    ids=['fields', 'field', 'no answer', 'body', 'event'],
)
def test_bytes_without_end_end_the_call_within_its_time_and_bounded_memory(
    script: bytes, repeated: bytes, slowly: bool
) -> None:
    count = 1 if slowly else CHUNK_BYTES // len(repeated)
    end = End.REPEAT_SLOWLY if slowly else End.REPEAT
    replica = ScriptedReplica(script, end, repeated * count)

    async def scenario(world: GatewayWorld) -> None:
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        async with asyncio.timeout(2.5):
            try:
                status = (await world.call('/unsafe/x', Limeshelf_Deadline_Ms='1000')).status
            except aiohttp.ClientError:
                status = 0
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
        assert status in (0, 502, 504)
        assert grown_kb < MAX_GROWTH_KB
        async with asyncio.timeout(1.0):
            await replica.closed.wait()

    _run(scenario, replica)


@pytest.mark.parametrize('slowly', [False, True], ids=['fast', 'slowly'])
def test_refusal_without_end_does_not_hold_up_its_call(slowly: bool) -> None:
    head = HEAD.replace(b'200 OK', b'503 Busy') + b'Limeshelf-Not-Executed: 1\r\n\r\n'
    count = 1 if slowly else CHUNK_BYTES
    end = End.REPEAT_SLOWLY if slowly else End.REPEAT
    replica = ScriptedReplica(head, end, b'x' * count)

    async def scenario(world: GatewayWorld) -> None:
        began_s = asyncio.get_running_loop().time()
        answer = await world.call('/unsafe/x')
        took_s = asyncio.get_running_loop().time() - began_s
        # The refusal is known with its head, and is final for the only replica.
        assert answer.status == 503
        assert took_s < 1.0

    _run(scenario, replica)


def test_scripted_replica_is_served_at_all() -> None:
    async def scenario(world: GatewayWorld) -> None:
        assert (await world.call('/unsafe/x')).body == b'ok'

    _run(scenario, ScriptedReplica(HEAD + b'Content-Length: 2\r\n\r\nok', End.CLOSE))


#: First lines of answers whose status is none: RFC 9110, section 15. Nobody asked to upgrade.
STATUS_LINES = (
    *(b'HTTP/1.1 %03d X' % status for status in (0, 1, 42, 99, 101, 600, 700, 999)),
    b'HTTP/2.0 200 OK',
)
NOT_RUN = b'Limeshelf-Not-Executed: 1\r\n'
WHOLE_BODY = b'Content-Length: 2\r\n\r\nok'
EVENT_STREAM = b'Content-Type: text/event-stream\r\n\r\n' + EVENTS


@pytest.mark.parametrize(('path', 'runs'), [('/safe/x', 2), ('/unsafe/x', 1)])
@pytest.mark.parametrize('rest', [WHOLE_BODY, b'\r\n', NOT_RUN + b'\r\n', EVENT_STREAM])
@pytest.mark.parametrize('line', STATUS_LINES)
def test_answer_whose_status_is_none_is_not_passed_on(
    line: bytes, rest: bytes, path: str, runs: int
) -> None:
    head = HEAD.replace(b'HTTP/1.1 200 OK', line)
    replica = ScriptedReplica(head + rest, End.CLOSE)

    async def scenario(world: GatewayWorld) -> None:
        answer = await world.call(path)
        assert answer.status == 502
        assert 'Limeshelf-Server-Stamp' not in answer.headers
        assert len(replica.runs) == runs

    _run(scenario, replica)

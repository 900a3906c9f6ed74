"""Replicas that answer in all the ways that a faulty one may, byte by byte, to many calls at once.

Whatever they send, a call that may run once runs at most once, a caller that is told that its call
has not run can rely on that, and no caller gets the answer to another call.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import pytest

from standins.users_platform.replica import ReplicaStandIn
from tests.support.gateway import PLAIN, GatewayWorld, configuration, route
from tests.support.resets import reset_connection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

CALLERS = 12
CALLS_PER_CALLER = 25
WORK_S = 0.01
PAUSE_S = 0.02
#: Share of calls that are not simply served; with more, replicas are suspended most of the time.
FAULTY_SHARE = 0.35
#: Statuses that promise the caller that the call has not run and never will.
PROMISES = (408, 421, 429, 503)
NOT_RUN = 'Limeshelf-Not-Executed: 1'


@attrs.define
class Connection:
    """One connection of a replica, and the bytes that it owes since an earlier call."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    owed: bytes = b''


@attrs.frozen
class Request:
    """A call that has arrived; its body may not have been read yet."""

    call_id: str
    is_stream: bool
    body_bytes: int
    is_chunked: bool


def answer_bytes(status: int, call_id: str | None, body: bytes, *lines: str) -> bytes:
    """Return a whole answer with a length."""
    fields = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}', *lines]
    if call_id is not None:
        fields.append(f'Limeshelf-Attempt-Id: {call_id}')
    return '\r\n'.join([*fields, '', '']).encode() + body


def served(request: Request, status: int = 200) -> bytes:
    """Return the signed answer to a call that has run."""
    lines = ['Limeshelf-Server-Stamp: s']
    body = f'answer of {request.call_id}'.encode()
    if request.is_stream:
        lines.append('Content-Type: text/event-stream')
        body = f'id: 1\ndata: {request.call_id}\n\nid: 2\ndata: end\n\n'.encode()
    return answer_bytes(status, request.call_id, body, *lines)


def refused(request: Request, status: int = 503) -> bytes:
    """Return the refusal of a call."""
    return answer_bytes(status, request.call_id, b'', NOT_RUN)


class FaultyReplica(ReplicaStandIn):
    """Answers each call in a way that is drawn at random.

    :param seed: of the draws.
    """

    def __init__(self, replica_id: str, seed: int) -> None:
        super().__init__(replica_id)
        self._draw = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> str:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', port)
        self.address = f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'
        return self.address

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = Connection(reader, writer)
        try:
            while not writer.is_closing():
                request = await _read_head(reader)
                await self._handle(connection, request)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _handle(self, connection: Connection, request: Request) -> None:
        await self._send(connection, connection.owed)
        connection.owed = b''
        is_faulty = self._draw.random() < FAULTY_SHARE
        way = self._draw.choice(WAYS) if is_faulty else FaultyReplica.serve_call
        await way(self, connection, request)

    async def _send(self, connection: Connection, *parts: bytes) -> None:
        for part in parts:
            connection.writer.write(part)
            await connection.writer.drain()
            await asyncio.sleep(self._draw.choice((0.0, 0.002)))

    async def _run_call(self, connection: Connection, request: Request) -> None:
        await _read_body(connection.reader, request)
        self.runs.append(request.call_id)
        await asyncio.sleep(WORK_S)

    async def serve_call(self, connection: Connection, request: Request) -> None:
        """Run the call."""
        await self._run_call(connection, request)
        await self._send(connection, served(request))

    async def serve_in_halves(self, connection: Connection, request: Request) -> None:
        """Send the answer in two parts, after an interim one."""
        await self._run_call(connection, request)
        whole = served(request)
        cut = self._draw.randrange(1, len(whole))
        await self._send(connection, b'HTTP/1.1 103 Early Hints\r\n\r\n', whole[:cut], whole[cut:])

    async def refuse(self, connection: Connection, request: Request) -> None:
        """Reject the call."""
        await _read_body(connection.reader, request)
        await self._send(connection, refused(request, self._draw.choice((503, 429))))

    async def refuse_early(self, connection: Connection, request: Request) -> None:
        """Reject the call before its body has been read."""
        await self._send(connection, refused(request))
        await _read_body(connection.reader, request)

    async def refuse_and_repeat_it_late(self, connection: Connection, request: Request) -> None:
        """Reject the call, and send the same answer again when the next one is due."""
        await _read_body(connection.reader, request)
        connection.owed = refused(request, self._draw.choice((503, 429)))
        await self._send(connection, connection.owed)

    async def refuse_twice_at_once(self, connection: Connection, request: Request) -> None:
        """Reject the call with two answers."""
        await _read_body(connection.reader, request)
        await self._send(connection, refused(request) * 2)

    async def serve_and_repeat_it_late(self, connection: Connection, request: Request) -> None:
        """Run the call, and send its answer again when the next one is due."""
        await self.serve_call(connection, request)
        connection.owed = served(request)

    async def serve_and_refuse_it_late(self, connection: Connection, request: Request) -> None:
        """Run the call, and send its refusal when the next answer is due."""
        await self.serve_call(connection, request)
        connection.owed = refused(request, self._draw.choice((503, 429, 421)))

    async def serve_and_send_unnamed_refusal(
        self, connection: Connection, request: Request
    ) -> None:
        """Run the call, and send a refusal without an id when the next answer is due."""
        await self.serve_call(connection, request)
        lines = self._draw.choice(((), (NOT_RUN,)))
        connection.owed = answer_bytes(self._draw.choice((421, 503)), None, b'', *lines)

    async def fail_with_a_promising_status(self, connection: Connection, request: Request) -> None:
        """Run the call, and answer with a status that promises that it has not run."""
        await self._run_call(connection, request)
        await self._send(connection, served(request, self._draw.choice((408, 429, 503))))

    async def fail(self, connection: Connection, request: Request) -> None:
        """Run the call, and answer with an error."""
        await self._run_call(connection, request)
        await self._send(connection, served(request, 500))

    async def break_off(self, connection: Connection, request: Request) -> None:
        """Run the call, and break its answer off."""
        await self._run_call(connection, request)
        whole = served(request)
        await self._send(connection, whole[: self._draw.randrange(len(whole))])
        if self._draw.random() < 0.5:
            reset_connection(connection.writer)
        connection.writer.close()

    async def send_garbage(self, connection: Connection, request: Request) -> None:
        """Run the call, and answer with bytes that are no answer."""
        await self._run_call(connection, request)
        await self._send(connection, self._draw.randbytes(40) + b'\r\n\r\n')
        connection.writer.close()

    async def close_without_reading(self, connection: Connection, request: Request) -> None:
        """Close the connection, with the body unread."""
        connection.writer.close()


WAYS: tuple[Callable[[FaultyReplica, Connection, Request], Awaitable[None]], ...] = (
    FaultyReplica.serve_in_halves,
    FaultyReplica.refuse,
    FaultyReplica.refuse,
    FaultyReplica.refuse_early,
    FaultyReplica.refuse_and_repeat_it_late,
    FaultyReplica.refuse_and_repeat_it_late,
    FaultyReplica.refuse_twice_at_once,
    FaultyReplica.serve_and_repeat_it_late,
    FaultyReplica.serve_and_refuse_it_late,
    FaultyReplica.serve_and_send_unnamed_refusal,
    FaultyReplica.fail_with_a_promising_status,
    FaultyReplica.fail,
    FaultyReplica.break_off,
    FaultyReplica.send_garbage,
    FaultyReplica.close_without_reading,
)


async def _read_head(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    first, *lines = head.split('\r\n')
    fields = {
        name.lower(): value for name, _, value in (line.partition(': ') for line in lines if line)
    }
    return Request(
        fields['limeshelf-attempt-id'],
        '/stream/' in first,
        int(fields.get('content-length', '0')),
        fields.get('transfer-encoding', '') == 'chunked',
    )


async def _read_body(reader: asyncio.StreamReader, request: Request) -> None:
    await reader.readexactly(request.body_bytes)
    while request.is_chunked:
        size = int(await reader.readline(), 16)
        await reader.readexactly(size + 2)
        if not size:
            return


class FaultyWorld(GatewayWorld):
    """A gateway in front of three faulty replicas of one service."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.plain = [FaultyReplica(f'p-{number}', seed + number) for number in range(3)]
        self.engines = []

    def configure(self, document: dict[str, Any]) -> None:
        del document
        routes = [route('unsafe', 'unsafe', PLAIN), route('stream', 'streaming', PLAIN)]
        super().configure(configuration(1, *routes))


@attrs.define
class Caller:
    """A client that sends one call after the other, and keeps what it was told."""

    number: int
    draw: random.Random
    statuses: dict[str, int] = attrs.field(factory=dict)

    async def run(self, world: FaultyWorld) -> None:
        """Send all calls."""
        for number in range(CALLS_PER_CALLER):
            call_id = f'c{self.number}x{number}'
            with contextlib.suppress(aiohttp.ClientError):
                await self._call(world, call_id)
            await asyncio.sleep(PAUSE_S)

    async def _call(self, world: FaultyWorld, call_id: str) -> None:
        path = self.draw.choice(('/unsafe/x', '/stream/x'))
        body: Any = b'x' * self.draw.choice((0, 10, 9000))
        if body and self.draw.random() < 0.5:
            body = _in_chunks(body)
        answer = await world.call(path, body=body, Limeshelf_Attempt_Id=call_id)
        self.statuses[call_id] = answer.status
        if answer.status == 200:
            assert call_id.encode() + (b'\n' if b'data' in answer.body else b'') in answer.body


async def _in_chunks(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), 3000):
        yield body[start : start + 3000]
        await asyncio.sleep(0)


@pytest.mark.parametrize('seed', [100, 200, 300])
def test_faulty_answers_make_no_call_run_twice_or_be_refused_though_it_ran(seed: int) -> None:
    async def main() -> None:
        async with FaultyWorld(seed) as world:
            callers = [Caller(number, random.Random(seed + number)) for number in range(CALLERS)]
            await asyncio.gather(*(caller.run(world) for caller in callers))
            runs = [call_id for replica in world.plain for call_id in replica.runs]
        statuses = {
            call_id: status for caller in callers for call_id, status in caller.statuses.items()
        }
        assert len(runs) > CALLERS
        assert sorted(set(runs)) == sorted(runs), 'ran twice'
        refused_ids = {call_id for call_id, status in statuses.items() if status in PROMISES}
        assert not refused_ids & set(runs), 'refused though run'

    asyncio.run(main())

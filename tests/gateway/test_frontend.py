"""The planned stop of a gateway, and the time-outs of its callers' connections."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket

from limeshelf.programs.gateway_service import BALANCER_NOTICE_S
from tests.support.gateway import HOST, GatewayWorld, configuration, route, run
from tests.support.process import ProcessWorld

#: Less than a connection buffers in the process, and more than these sockets do.
SLOWLY_READ_BYTES = 60_000
SOCKET_BUFFER_BYTES = 1 << 12
REQUEST = (
    f'POST /unsafe/x HTTP/1.1\r\nHost: {HOST}\r\nLimeshelf-Attempt-Id: k1\r\n'
    'Limeshelf-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n'
).encode()


def slowly_read_socket() -> socket.socket:
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    connection.setblocking(False)
    return connection


async def read_to_the_end(connection: socket.socket) -> bytes:
    """Return the body of the answer on a connection, which ends after it."""
    received = b''
    with contextlib.closing(connection):
        while part := await asyncio.get_running_loop().sock_recv(connection, 1 << 16):
            received += part
    return received.partition(b'\r\n\r\n')[2]


def test_idle_connection_is_closed_at_a_stop() -> None:
    async def scenario(world: GatewayWorld) -> None:
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.write(REQUEST)
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        length = int(head.lower().split(b'content-length: ')[1].split(b'\r\n')[0])
        await reader.readexactly(length)
        world.gateway.components.frontend.close_idle_connections()
        async with asyncio.timeout(1):
            assert await reader.read() == b''
        writer.close()

    run(scenario)


def test_running_stream_is_completed_at_a_stop() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for replica in world.engines:
            replica.event_s = 0.3
        task = asyncio.create_task(world.generate())
        await world.until(lambda: any(replica.runs for replica in world.engines))
        await world.gateway.drain()
        answer = await task
        assert answer.status == 200
        assert answer.body.count(b'data:') == 5

    run(scenario)


def test_answer_that_its_caller_reads_slowly_is_not_cut_off_by_a_stop() -> None:
    """What the process has not passed to the operating system when it exits is lost."""

    async def scenario(world: GatewayWorld) -> None:
        for replica in world.plain:
            replica.answer_bytes = SLOWLY_READ_BYTES
        connection = slowly_read_socket()
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, ('127.0.0.1', world.port))
        frontend = world.gateway.components.frontend
        await world.until(lambda: any(one.transport for one in frontend.caller_connections()))
        for one in frontend.caller_connections():
            accepted = one.transport.get_extra_info('socket')
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        await loop.sock_sendall(connection, REQUEST)
        await world.until(lambda: any(replica.runs for replica in world.plain))
        await world.until(lambda: frontend.requests_in_flight == 0)
        stopping = asyncio.create_task(world.gateway.drain())
        await asyncio.sleep(BALANCER_NOTICE_S + 0.2)
        is_cut_off = stopping.done()
        body = await read_to_the_end(connection)
        await stopping
        assert not is_cut_off
        assert len(body) == SLOWLY_READ_BYTES

    run(scenario)


def test_answer_that_its_caller_reads_after_the_notice_is_complete_when_the_process_ends() -> None:
    async def run_process() -> bytes:
        world = ProcessWorld(module='tests.support.small_buffers_gateway')
        async with world:
            for replica in world.plain:
                replica.answer_bytes = SLOWLY_READ_BYTES
            connection = slowly_read_socket()
            loop = asyncio.get_running_loop()
            host, _, port = world.addresses['calls'].rpartition(':')
            await loop.sock_connect(connection, (host, int(port)))
            await loop.sock_sendall(connection, REQUEST)
            await world.until(lambda: any(replica.runs for replica in world.plain))
            world.signal(signal.SIGTERM)
            await asyncio.sleep(BALANCER_NOTICE_S + 0.3)
            return await read_to_the_end(connection)

    assert len(asyncio.run(run_process())) == SLOWLY_READ_BYTES


def test_call_on_a_keep_alive_connection_is_answered_while_stopping() -> None:
    async def scenario(world: GatewayWorld) -> None:
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        task = asyncio.create_task(world.gateway.drain())
        await asyncio.sleep(0.1)
        writer.write(REQUEST)
        head = (await reader.readuntil(b'\r\n\r\n')).lower()
        assert head.startswith(b'http/1.1 200')
        assert b'connection: close' in head
        writer.close()
        task.cancel()

    run(scenario)


def test_call_that_waits_for_a_replica_is_refused_at_a_stop() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for replica in world.plain:
            world.store.drop('servers', replica.replica_id)
        await world.until(lambda: not world.gateway.components.directory.of_service('app'))
        world.configure(configuration(2, route('long', 'unsafe', 'app', LatencySloMs=60000)))
        await world.until(lambda: world.gateway.components.pipeline.config.version == 2)
        task = asyncio.create_task(world.call('/long/x'))
        await world.until(lambda: world.gateway.components.pipeline._waiting)
        world.gateway.components.pipeline.refuse_waiting()
        answer = await task
        assert answer.status == 503
        assert 'Retry-After' in answer.headers

    run(scenario)


def test_slow_head_and_idle_connection_end_at_the_configured_times() -> None:
    async def closes(world: GatewayWorld, sent: bytes) -> bool:
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.write(sent)
        try:
            async with asyncio.timeout(3):
                await reader.read()
        except TimeoutError:
            return False
        finally:
            writer.close()
        return True

    async def scenario(world: GatewayWorld) -> None:
        world.configure(configuration(2, HeaderTimeoutMs=200, IdleTimeoutMs=400))
        await world.until(lambda: world.gateway.components.pipeline.config.version == 2)
        half_a_head, whole_call = REQUEST[:40], REQUEST
        assert await closes(world, half_a_head)
        assert await closes(world, whole_call)

    run(scenario)


def test_store_that_does_not_answer_does_not_let_calls_be_taken_late_in_the_grace() -> None:
    async def scenario(world: GatewayWorld) -> None:
        await world.until(world.leader_can_order)
        world.store.faults.silent = True
        stopping = asyncio.create_task(world.gateway.drain())
        # The users' bound: who sends later than this may count on an answer.
        await asyncio.sleep(3.0)
        assert (await world.call('/unsafe/x')).status == 503
        assert not any(replica.runs for replica in world.plain)
        await stopping

    run(scenario, grace_s=8.0)


def test_call_whose_body_ends_late_in_the_grace_is_refused() -> None:
    async def scenario(world: GatewayWorld) -> None:
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        stopping = asyncio.create_task(world.gateway.drain())
        await asyncio.sleep(1.0)
        head = REQUEST.replace(b'Content-Length: 0', b'Content-Length: 4')
        writer.write(head.replace(b'Deadline-Ms: 2000', b'Deadline-Ms: 9000') + b'bo')
        await asyncio.sleep(2.0)
        writer.write(b'dy')
        assert (await reader.readuntil(b'\r\n\r\n')).startswith(b'HTTP/1.1 503')
        assert not any(replica.runs for replica in world.plain)
        writer.close()
        await stopping

    run(scenario, grace_s=8.0)

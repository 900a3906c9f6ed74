"""What waits to be sent to peers is counted and logged."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from limeshelf.peers import traffic
from limeshelf.peers.node import PeerNode
from limeshelf.peers.traffic import BUSY_BYTES, Traffic, TrafficLog, Waiting
from limeshelf.standalone.messages import ConfigPull
from limeshelf.util.clock import boottime_s

LIMIT_S = 10.0


def logged(waiting: list[Waiting], checks: int = 1) -> list[tuple[str, dict[str, Any]]]:
    lines: list[tuple[str, dict[str, Any]]] = []
    counts = Traffic()
    log = TrafficLog(counts, lambda: waiting)
    counts.record_sent('table-words', 700, 0.1)
    with mock.patch.object(
        traffic, 'log_change', lambda event, **fields: lines.append((event, fields))
    ):
        for _ in range(checks):
            log.check()
        waiting.clear()
        log.check()
    return lines


def test_much_that_waits_is_logged_with_what_was_sent_before() -> None:
    begun, ended = logged([Waiting('a:1', BUSY_BYTES, 5, 1.5), Waiting('b:1', 1, 0, 0.0)])
    assert begun[0] == 'peers_link_busy'
    assert begun[1]['peer'] == 'a:1'
    assert begun[1]['oldest_ms'] == 1500
    assert begun[1]['sent_bytes'] == {'table-words': 700}
    assert ended[0] == 'peers_link_free'


def test_little_that_waits_is_not_logged() -> None:
    assert logged([Waiting('a:1', BUSY_BYTES - 1, 0, 1.5)]) == []


def test_bytes_that_a_peer_does_not_read_are_counted_as_waiting() -> None:
    async def run() -> None:
        accepted = asyncio.Event()

        async def never_read(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            accepted.set()

        server = await asyncio.start_server(never_read, '127.0.0.1', 0, limit=1)
        port = server.sockets[0].getsockname()[1]
        node = PeerNode('127.0.0.1', 0, 'x')
        await node.start()
        until_s = boottime_s() + LIMIT_S
        try:
            node.send(f'127.0.0.1:{port}', ConfigPull(1))
            await accepted.wait()
            while sum(one.total_bytes for one in node.waiting()) < BUSY_BYTES:
                assert boottime_s() < until_s
                for _ in range(1000):
                    node.send(f'127.0.0.1:{port}', ConfigPull(1))
                await asyncio.sleep(0)
        finally:
            await node.close()
            server.close()

    asyncio.run(run())

"""Cost of an idle gateway."""

from __future__ import annotations

import asyncio
from typing import Any

from limeshelf.dispatch.exchange import DispatchExchange
from limeshelf.replicas.directory import ReplicaDirectory


class CountingDispatcher:
    """Counts the passes over its queue."""

    def __init__(self) -> None:
        self.passes = 0
        self.queue_length = 0

    def handle_query(self, query: Any, requester: str) -> None:
        self.queue_length += 1

    def process_queue(self) -> None:
        self.passes += 1
        if self.passes == 3:
            self.queue_length = 0


def test_empty_queue_is_not_processed() -> None:
    """Guards against periodic passes over an empty queue, 67 per second in each gateway."""

    async def scenario() -> None:
        node: Any = None
        directory = ReplicaDirectory(lambda replica_id, value: None)  # type: ignore[arg-type]
        exchange = DispatchExchange(node, directory, lambda: None, lambda: None, 'c1')
        dispatcher: Any = CountingDispatcher()
        exchange.dispatcher = dispatcher
        running = asyncio.create_task(exchange.run())
        await asyncio.sleep(0.1)
        assert dispatcher.passes == 0
        query: Any = object()
        exchange._handle_query(query, 'peer')
        async with asyncio.timeout(5.0):
            while dispatcher.queue_length:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        assert dispatcher.passes == 3
        running.cancel()

    asyncio.run(scenario())

"""What a gateway without calls costs."""

from __future__ import annotations

import asyncio
from typing import Any

from limeshelf.dispatch.exchange import DispatchExchange
from limeshelf.replicas.directory import ReplicaDirectory


class CountingDispatcher:
    """Counts how often its queue is tried."""

    def __init__(self) -> None:
        self.pumps = 0
        self.waiting = 0

    def take_query(self, query: Any, asker: str) -> None:
        self.waiting += 1

    def pump(self) -> None:
        self.pumps += 1
        if self.pumps == 3:
            self.waiting = 0


def test_empty_queue_is_not_tried() -> None:
    """Before: 67 times a second, by each gateway."""

    async def play() -> None:
        node: Any = None
        directory = ReplicaDirectory(lambda replica_id, value: None)  # type: ignore[arg-type]
        exchange = DispatchExchange(node, directory, lambda: None, lambda: None, 'c1')
        dispatcher: Any = CountingDispatcher()
        exchange.dispatcher = dispatcher
        running = asyncio.create_task(exchange.run())
        await asyncio.sleep(0.1)
        assert dispatcher.pumps == 0
        query: Any = object()
        exchange._take(query, 'peer')
        async with asyncio.timeout(5.0):
            while dispatcher.waiting:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        assert dispatcher.pumps == 3
        running.cancel()

    asyncio.run(play())

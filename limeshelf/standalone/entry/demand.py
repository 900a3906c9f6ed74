"""Counts what callers ask for, for the placers of the data centre.

Owns the counts since the last message. Relies on the process list for the placers.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from limeshelf.standalone.messages import Demand, ItemDemand
from limeshelf.util.backoff import jittered_s

if TYPE_CHECKING:
    from limeshelf.peers.node import PeerNode
    from limeshelf.standalone.membership.processes import ProcessDirectory

#: Time between two messages to the placers.
PERIOD_S = 1.0


class DemandCounter:
    """Requests arrived, refused and in flight, by item."""

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._arrived: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()

    def arrived(self, item_id: str) -> None:
        """Count a request for the item."""
        self._arrived[item_id] += 1
        self._waiting[item_id] += 1

    def ended(self, item_id: str) -> None:
        """Count its end."""
        self._waiting[item_id] -= 1
        if self._waiting[item_id] <= 0:
            del self._waiting[item_id]

    def refused(self, item_id: str) -> None:
        """Count a refusal for want of capacity."""
        self._refused[item_id] += 1

    def take(self) -> Demand:
        """Return what was counted since the last time."""
        items = [
            ItemDemand(
                item_id, self._arrived[item_id], self._refused[item_id], self._waiting[item_id]
            )
            for item_id in sorted({*self._arrived, *self._refused, *self._waiting})
        ]
        self._arrived.clear()
        self._refused.clear()
        return Demand(self._instance_id, PERIOD_S, items)

    async def run(self, processes: ProcessDirectory, node: PeerNode) -> None:
        """Send the counts to the placers of the data centre."""
        while True:
            await asyncio.sleep(jittered_s(PERIOD_S))
            demand = self.take()
            if demand.items:
                node.send_all(processes.centre_addresses('placer'), demand)

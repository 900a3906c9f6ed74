"""Collects changes of replicas that the leader must send to other gateways without delay.

Owns the changes not sent yet. The replica directory and the placement add them;
:class:`limeshelf.membership.state_exchange.StateExchange` sends them.
"""

from __future__ import annotations

import asyncio


class StateChanges:
    """The replicas that changed, and whether anything has to be sent."""

    def __init__(self) -> None:
        self._replica_ids: set[str] = set()
        self._pending = asyncio.Event()

    def add_replica(self, replica_id: str) -> None:
        """Record that the contents of a replica changed."""
        self._replica_ids.add(replica_id)
        self._pending.set()

    def signal_load(self) -> None:
        """Signal that a model load was ordered; gateways with waiting calls need to know it."""
        self._pending.set()

    def pop_replicas(self) -> set[str]:
        """Return and clear the replicas that changed since the last call."""
        changed, self._replica_ids = self._replica_ids, set()
        return changed

    async def wait(self, timeout_s: float, batch_window_s: float) -> None:
        """Wait for a change and a batch window after it, or until the time-out.

        :param timeout_s: maximum wait for a change.
        :param batch_window_s: time after a change during which further changes are collected.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._pending.wait()
        except TimeoutError:
            # The usual case: without a change the leader still sends its periodic update.
            return
        self._pending.clear()
        await asyncio.sleep(batch_window_s)

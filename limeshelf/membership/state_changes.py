"""Collects the changes of replicas that the leader has to send to other gateways at once.

Owns the changes that were not sent yet. The directory of replicas and the placement note
them; :class:`limeshelf.membership.state_exchange.StateExchange` sends them.
"""

from __future__ import annotations

import asyncio


class StateChanges:
    """Replicas that changed, and whether anything waits to be sent."""

    def __init__(self) -> None:
        self._replica_ids: set[str] = set()
        self._pending = asyncio.Event()

    def note_replica(self, replica_id: str) -> None:
        """Note that a replica holds something else than before."""
        self._replica_ids.add(replica_id)
        self._pending.set()

    def note_load(self) -> None:
        """Note that a load was ordered, so that waiting calls learn of it."""
        self._pending.set()

    def pop_replicas(self) -> set[str]:
        """Return the replicas that changed since the last call, and forget them."""
        taken, self._replica_ids = self._replica_ids, set()
        return taken

    async def wait(self, timeout_s: float, batch_window_s: float) -> None:
        """Return some moments after a change, or after a time without any.

        :param limit_s: longest wait for a change.
        :param gap_s: pause after a change, in which others may join it.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._pending.wait()
        except TimeoutError:
            # The usual case: nothing changed, and the leader sends what is due anyway.
            return
        self._pending.clear()
        await asyncio.sleep(batch_window_s)

"""Sends the configuration revision of each process to the other data centres.

Reads the revisions from the heartbeats of the own data centre; admin programs show them to
operators.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from limeshelf.standalone.messages import Reach
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.standalone.membership.processes import ProcessDirectory

#: Interval between checks for changed revisions.
CHANGED_INTERVAL_S = 0.25
#: Interval between messages while no revision changes.
UNCHANGED_INTERVAL_S = 5.0


class ReachSender:
    """Sends the revisions of the own data centre to the others."""

    def __init__(self, processes: ProcessDirectory, node: PeerNode) -> None:
        self._processes = processes
        self._node = node

    async def run(self) -> None:
        """Send all revisions after a change, and periodically without one."""
        sent: dict[str, int] = {}
        sent_s = 0.0
        while True:
            await asyncio.sleep(jittered_s(CHANGED_INTERVAL_S))
            if not self._processes.is_chosen('gateway'):
                continue
            revisions = centre_revisions(self._processes)
            if revisions == sent and boottime_s() - sent_s < UNCHANGED_INTERVAL_S:
                continue
            sent, sent_s = revisions, boottime_s()
            message = Reach(self._processes.own.data_centre, revisions, relay=True)
            for addresses in self._processes.remote_entries().values():
                if addresses:
                    self._node.send(random.choice(addresses), message)

    def relay(self, envelope: Envelope) -> None:
        """Forward a message to the admin processes of the own data centre."""
        message: Reach = envelope.message
        if message.relay:
            inner = Reach(message.data_centre, message.revisions)
            self._node.send_all(self._processes.centre_addresses('admin'), inner)


def centre_revisions(processes: ProcessDirectory) -> dict[str, int]:
    """Return the revision of each live process of the data centre, from its heartbeat."""
    return {
        f'{beat.instance_id}/{beat.program}': beat.revision
        for beat in processes.heard()
        if beat.data_centre == processes.own.data_centre
    }

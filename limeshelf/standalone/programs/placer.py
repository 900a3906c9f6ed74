"""``limeshelf-placer``: decides which model sits in which memory.

Owns the order in which a placer process starts and stops. Relies on ``process`` for what
all programs share, and on the packages ``lease`` and ``placement`` for the work.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import typer

from limeshelf.peers.codec import Envelope
from limeshelf.standalone.lease.keeper import LeaderLease
from limeshelf.standalone.membership.processes import PLACER_PROGRAM
from limeshelf.standalone.messages import Demand
from limeshelf.standalone.placement.anchors import AnchorDirectory
from limeshelf.standalone.placement.placer import Placer
from limeshelf.standalone.programs.process import Process
from limeshelf.standalone.programs.runner import EXIT_OK, ProgramService, run_program
from limeshelf.standalone.upstreams.pool import UpstreamPool
from limeshelf.util.clock import boottime_s


class PlacerProgram(ProgramService):
    """The placer process."""

    async def start(self) -> None:
        """Compete for the lease and place while holding it."""
        settings = self.settings
        process = self.process = Process(settings, PLACER_PROGRAM, settings.placer.peer_port)
        await process.start()
        self.pool = UpstreamPool(settings.entry.connect_timeout_s)
        holder_id = process.processes.own.boot_id
        lease = LeaderLease(
            process.table, settings.data_centre, holder_id, settings.placer.lease_s
        )
        self.placer = Placer(
            settings.data_centre,
            settings.placer,
            process.config,
            process.upstreams,
            self.pool,
            process.table,
            lease,
            AnchorDirectory(process.table, lease, settings.data_centre),
            process.metrics,
            process.decisions,
        )
        process.node.add_handler(Demand, self._take_demand)
        peer_port = int(process.node.address.rsplit(':')[-1])
        self.announce(peer_port=peer_port)
        process.tasks.supervise(self._place, 'place')

    def _take_demand(self, envelope: Envelope) -> None:
        self.placer.demand.record(envelope.message, boottime_s())

    async def _place(self) -> None:
        await self.process.synchronise()
        self.process.set_serving(True)
        self.placer.start()

    async def drain(self, at_once: asyncio.Event) -> int:
        """Give the lease back; nothing else has to end first."""
        self.process.set_serving(False)
        await self.placer.close()
        return EXIT_OK

    async def stop(self, exception: Exception | None = None) -> None:
        """Close everything."""
        await self.placer.close()
        await self.pool.close()
        await self.process.close()


def run(
    settings: Annotated[Path, typer.Option(help='Settings file of the instance.')],
) -> None:
    """Decide which model sits in which memory."""
    sys.exit(run_program(settings, lambda loaded: PlacerProgram(settings=loaded)))


def main() -> None:
    """Run the console script."""
    typer.run(run)

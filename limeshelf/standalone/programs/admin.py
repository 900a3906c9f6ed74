"""``limeshelf-admin``: the operator RPC of one instance.

Owns the order in which an admin process starts and stops. Relies on ``process`` for what
all programs share, and on the package ``admin`` for the work.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import typer

from limeshelf.standalone.admin.operations import Operations
from limeshelf.standalone.admin.queries import PeerQueries
from limeshelf.standalone.admin.server import AdminServer
from limeshelf.standalone.admin.service import AdminService
from limeshelf.standalone.membership.processes import ADMIN_PROGRAM
from limeshelf.standalone.messages import Reach
from limeshelf.standalone.programs.process import Process
from limeshelf.standalone.programs.runner import EXIT_OK, ProgramService, run_program
from limeshelf.standalone.services.weights import WeightStoreClient

#: Time for running calls at a planned stop.
CALL_GRACE_S = 5.0


class AdminProgram(ProgramService):
    """The admin process."""

    async def start(self) -> None:
        """Answer operators once the configuration is known."""
        settings = self.settings
        process = self.process = Process(settings, ADMIN_PROGRAM, settings.admin.peer_port)
        await process.start()
        self.weights = WeightStoreClient.from_settings(settings.platform)
        operations = Operations(
            process.config, process.store, process.sync, process.upstreams, self.weights
        )
        service = AdminService(
            operations,
            PeerQueries(process.processes, process.node),
            process.config,
            process.store,
            process.processes,
            process.upstreams,
        )
        process.node.add_handler(Reach, service.take_reach)
        self.server = AdminServer(service, settings.admin)
        rpc_port = await self.server.start(settings.listen_host)
        peer_port = int(process.node.address.rsplit(':')[-1])
        self.announce(rpc_port=rpc_port, peer_port=peer_port)
        process.tasks.supervise(self._follow, 'follow')

    async def _follow(self) -> None:
        await self.process.synchronise()
        self.process.set_serving(True)

    async def drain(self, at_once: asyncio.Event) -> int:
        """Let running calls end."""
        self.process.set_serving(False)
        await self.server.close(CALL_GRACE_S)
        return EXIT_OK

    async def stop(self, exception: Exception | None = None) -> None:
        """Close everything."""
        await self.server.close(0)
        await self.weights.close()
        await self.process.close()


def run(
    settings: Annotated[Path, typer.Option(help='Settings file of the instance.')],
) -> None:
    """Answer operators' calls."""
    sys.exit(run_program(settings, lambda loaded: AdminProgram(settings=loaded)))


def main() -> None:
    """Run the console script."""
    typer.run(run)

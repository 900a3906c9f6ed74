"""``limeshelf-entry``: takes callers' requests and sends them to upstreams.

Owns the order in which an entry process starts and stops. Relies on ``process`` for what
all programs share, and on the packages ``entry`` and ``membership`` for the work.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import typer
from absl import logging

from limeshelf.peers.codec import Envelope
from limeshelf.settings.tls import create_server_context, reload_on_change
from limeshelf.standalone.claims.keeper import ClaimKeeper
from limeshelf.standalone.entry.context import EntryContext
from limeshelf.standalone.entry.demand import DemandCounter
from limeshelf.standalone.entry.lifecycle import Lifecycle, Phase
from limeshelf.standalone.entry.server import EntryServer
from limeshelf.standalone.membership.processes import ENTRY_PROGRAM
from limeshelf.standalone.membership.reach import ReachSender
from limeshelf.standalone.membership.watch import UpstreamWatch
from limeshelf.standalone.messages import Reach, SamplesQuery, SamplesReply
from limeshelf.standalone.programs.process import Process
from limeshelf.standalone.programs.runner import (
    EXIT_CUT_OFF,
    EXIT_OK,
    ProgramService,
    run_program,
)
from limeshelf.standalone.upstreams.pool import UpstreamPool

#: A starting process waits at most this long for the states of upstreams
#: (docs/design/membership.rst).
STATES_WAIT_S = 3.0
#: Pause between two checks whether they have arrived.
STATES_PAUSE_S = 0.05


class EntryProgram(ProgramService):
    """The entry process."""

    async def start(self) -> None:
        """Listen at once, serve once the configuration is in force."""
        settings = self.settings
        self.process = Process(settings, ENTRY_PROGRAM, settings.entry.peer_port)
        await self.process.start()
        self.shared = self._make_context()
        self.server = EntryServer(self.shared)
        tls = settings.entry.tls
        tls_context = create_server_context(tls, 'entry.tls') if tls else None
        http_port = await self.server.start(
            settings.listen_host, settings.entry.http_port, tls_context
        )
        if tls is not None and tls_context is not None:
            self.process.tasks.supervise(reload_on_change, 'tls', tls_context, tls)
        self.watch = UpstreamWatch(
            self.process.processes,
            self.process.upstreams,
            self.shared.pool,
            self.process.node,
            settings.peers.report_s,
        )
        self.watch.start()
        self._start_sending()
        peer_port = int(self.process.node.address.rsplit(':')[-1])
        self.announce(http_port=http_port, peer_port=peer_port)
        self.process.tasks.supervise(self._serve, 'serve')

    def _make_context(self) -> EntryContext:
        process = self.process
        return EntryContext(
            instance_id=self.settings.instance_id,
            settings=self.settings.entry,
            config=process.config,
            upstreams=process.upstreams,
            pool=UpstreamPool(self.settings.entry.connect_timeout_s),
            claims=ClaimKeeper(process.table),
            metrics=process.metrics,
            decisions=process.decisions,
            demand=DemandCounter(self.settings.instance_id),
            lifecycle=Lifecycle(),
        )

    def _start_sending(self) -> None:
        process = self.process
        reach = ReachSender(process.processes, process.node)
        process.node.add_handler(Reach, reach.relay)
        process.node.add_handler(SamplesQuery, self._answer_samples)
        process.tasks.supervise(reach.run, 'reach')
        process.tasks.supervise(self.shared.demand.run, 'demand', process.processes, process.node)

    def _answer_samples(self, envelope: Envelope) -> None:
        query: SamplesQuery = envelope.message
        samples = self.shared.samples.samples()
        reply = SamplesReply(query.query_id, self.settings.instance_id, samples)
        self.process.node.send(envelope.sender, reply)

    async def _serve(self) -> None:
        await self.process.synchronise()
        await self._await_states()
        self.shared.lifecycle.enter(Phase.SERVING)
        self.process.set_serving(True)

    async def _await_states(self) -> None:
        """Wait for the states of the upstreams, but not for those out of reach.

        A process that served before it knew who holds what would refuse
        requests that its peers can serve (tests/features/planned_stop.feature).
        """
        for _ in range(round(STATES_WAIT_S / STATES_PAUSE_S)):
            if self.process.upstreams.all_heard():
                return
            await asyncio.sleep(STATES_PAUSE_S)

    async def drain(self, at_once: asyncio.Event) -> int:
        """Stop as planned; return the exit code."""
        entry = self.settings.entry
        self.process.set_serving(False)
        cut_off = await self.shared.lifecycle.drain(
            entry.balancer_notice_s, entry.drain_limit_s, at_once
        )
        self.shared.metrics.count('entry.cut_off', cut_off)
        self.shared.metrics.flush()
        logging.info('entry=stopped cut_off=%d', cut_off)
        return EXIT_CUT_OFF if cut_off else EXIT_OK

    async def stop(self, exception: Exception | None = None) -> None:
        """Close everything."""
        await self.watch.close()
        await self.server.close()
        await self.shared.pool.close()
        await self.process.close()


def run(
    settings: Annotated[Path, typer.Option(help='Settings file of the instance.')],
) -> None:
    """Take callers' requests and bring them to upstreams."""
    sys.exit(run_program(settings, lambda loaded: EntryProgram(settings=loaded)))


def main() -> None:
    """Run the console script."""
    typer.run(run)

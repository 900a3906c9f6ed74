"""What the entry, placer and admin programs have in common."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
import uvloop
from absl import logging
from aiomisc import Service, entrypoint

from limeshelf.errors import InvalidDocument
from limeshelf.metrics.decision_log import DecisionLog
from limeshelf.metrics.statsd import Metrics
from limeshelf.peers.node import PeerNode
from limeshelf.settings.load import load_settings
from limeshelf.standalone.config.holder import ConfigHolder
from limeshelf.standalone.membership.listing import InstanceListSync
from limeshelf.standalone.membership.processes import ENTRY_PROGRAM, ProcessDirectory
from limeshelf.standalone.membership.upstreams import UpstreamDirectory
from limeshelf.standalone.messages import (
    ExplainQuery,
    ExplainReply,
    Heartbeat,
    LeavingNotice,
    UpstreamStates,
)
from limeshelf.standalone.programs.logs import set_up_logs
from limeshelf.standalone.revisions.store import RevisionStore
from limeshelf.standalone.revisions.sync import RevisionSync
from limeshelf.standalone.services.instances import InstanceListClient
from limeshelf.standalone.services.objects import ObjectStoreClient
from limeshelf.standalone.services.table import TableClient
from limeshelf.util.backoff import jittered_s
from limeshelf.util.identifiers import new_id
from limeshelf.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from limeshelf.peers.codec import Envelope
    from limeshelf.settings.model import Settings

#: Exit codes of the programs.
EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_CUT_OFF = 3
#: Read by libuv when the first loop is made. Without it, uvloop 0.19 to 0.22
#: open two io_uring descriptors where the kernel has them
#: (tests/features/path.feature); 0.23 no longer reads it, hence the pin.
IO_URING_SWITCH = 'UV_USE_IO_URING'
#: New objects between two collections of the youngest generation.
COLLECT_AFTER = 20_000
#: The programs do no blocking work, so the thread pool stays small. Chosen, not measured.
POOL_THREADS = 2


class Process:
    """The peer node, the directories, the configuration and their tasks."""

    def __init__(self, settings: Settings, program: str, peer_port: int) -> None:
        self.settings = settings
        self.program = program
        self.tasks = TaskSet()
        self.metrics = Metrics(settings.metrics, f'limeshelf.{program}')
        self.decisions = DecisionLog(settings.logs.decisions)
        self.config = ConfigHolder()
        self.node = PeerNode(settings.listen_host, peer_port, settings.data_centre)
        own = Heartbeat(
            settings.instance_id, program, settings.data_centre, '', new_id('boot'), 0, False
        )
        self.processes = ProcessDirectory(own, settings.peers.seeds, settings.peers.silence_s)
        self.upstreams = UpstreamDirectory(settings.data_centre, settings.peers.silence_s)
        self.table = TableClient.from_settings(settings.platform)
        self._objects = ObjectStoreClient.from_settings(settings.platform)
        self._instances = InstanceListClient.from_settings(settings.platform)
        self.listing = InstanceListSync(
            self._instances, self.processes, self.node, self._reads_platform
        )
        self.listing.add_listener(self.upstreams.take_listed)
        self.store = RevisionStore(self.table, self._objects)
        self.sync = RevisionSync(
            self.config,
            self.store,
            self.listing,
            self.processes,
            self.node,
            settings.platform.poll_s,
            self._reads_platform,
        )

    def _reads_platform(self) -> bool:
        return self.program == ENTRY_PROGRAM and self.processes.is_chosen('platform-reader')

    async def start(self) -> None:
        """Start the peer node and reach the highest revision within reach."""
        self.node.add_handler(Heartbeat, self._take_heartbeat)
        self.node.add_handler(UpstreamStates, self._take_states)
        self.node.add_handler(LeavingNotice, self._take_leaving)
        self.node.add_handler(ExplainQuery, self._explain)
        await self.node.start()
        self._set_own(address=self.node.address)
        self.tasks.keep(self._beat, 'heartbeat')
        self.tasks.keep(self.metrics.run, 'metrics')
        self.config.add_listener(lambda catalog: self._set_own(revision=catalog.revision))

    async def synchronise(self) -> None:
        """Return when the highest revision within reach is in force."""
        await self.sync.start()
        self.tasks.keep(self.sync.run, 'revision-sync')

    def set_serving(self, serving: bool) -> None:
        """Tell the peers whether this process serves."""
        self._set_own(serving=serving)
        self._send_heartbeat()

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        await self.tasks.close()
        await self.node.close()
        for client in (self.table, self._objects, self._instances):
            await client.close()

    def _set_own(self, **changes: Any) -> None:
        self.processes.own = attrs.evolve(self.processes.own, **changes)

    async def _beat(self) -> None:
        while True:
            self.processes.forget_silent()
            self._send_heartbeat()
            self._gauge()
            await asyncio.sleep(jittered_s(self.settings.peers.heartbeat_s))

    def _send_heartbeat(self) -> None:
        self.node.send_all(self.processes.centre_addresses(), self.processes.own)

    def _gauge(self) -> None:
        metrics = self.metrics
        metrics.gauge('config.revision', self.config.revision)
        metrics.gauge('peers.heard', len(self.processes.heard()) - 1)
        metrics.gauge('peers.sent_bytes', self.node.sent_bytes)
        metrics.gauge('peers.received_bytes', self.node.received_bytes)
        metrics.gauge('peers.dropped', self.node.dropped)
        metrics.gauge('peers.malformed', self.node.malformed)
        metrics.gauge('tasks.failed', self.tasks.failures)

    def _take_heartbeat(self, envelope: Envelope) -> None:
        self.processes.take_heartbeat(envelope.message)

    def _take_states(self, envelope: Envelope) -> None:
        message: UpstreamStates = envelope.message
        for state in message.states:
            self.upstreams.take_state(state)
        if message.relay:
            inner = attrs.evolve(message, relay=False)
            addresses = self.processes.centre_addresses()
            self.node.send_all(addresses, inner)

    def _take_leaving(self, envelope: Envelope) -> None:
        message: LeavingNotice = envelope.message
        self.upstreams.mark_leaving(message.upstream_id, message.boot_id)
        if message.relay:
            inner = attrs.evolve(message, relay=False)
            self.node.send_all(self.processes.centre_addresses(), inner)

    def _explain(self, envelope: Envelope) -> None:
        query: ExplainQuery = envelope.message
        lines = self.decisions.lines(query.request_id)
        self.node.send(envelope.sender, ExplainReply(query.query_id, lines))


class ProgramService(Service):
    """Base of the services that the programs run."""

    settings: Settings

    async def drain(self, at_once: asyncio.Event) -> int:
        """Stop as planned; return the exit code.

        :param at_once: set by a second signal; ends every wait.
        """
        raise NotImplementedError

    def announce(self, **ports: int) -> None:
        """Print one line of JSON with the ports that were bound."""
        line = {
            'program': type(self).__name__,
            'instance_id': self.settings.instance_id,
            **ports,
        }
        sys.stdout.write(msgspec.json.encode(line).decode() + '\n')
        sys.stdout.flush()


def run_program(settings_file: Path, make: Callable[[Settings], ProgramService]) -> int:
    """Run a program until it is told to stop; return its exit code."""
    try:
        settings = load_settings(settings_file)
        return _run_service(make(settings), settings)
    except InvalidDocument as error:
        for problem in error.problems:
            sys.stderr.write(f'{settings_file}: {problem.path}: {problem.message}\n')
        return EXIT_BAD_SETTINGS


def _run_service(service: ProgramService, settings: Settings) -> int:
    os.environ[IO_URING_SWITCH] = '0'
    set_up_logs(settings.logs)
    _spare_the_collector()
    # aiomisc's own signal handling ends the loop at once; a planned stop takes
    # its time, so the signals are handled here.
    with entrypoint(
        service,
        log_config=False,
        pool_size=POOL_THREADS,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        return loop.run_until_complete(_until_stopped(service))


def _spare_the_collector() -> None:
    """Keep garbage collection off the objects made at the start, and rarer.

    Requests make few cycles; with the usual thresholds full collections walked
    every module again and showed in the tail of the first byte times
    (``make bench``).
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER, 20, 50)


async def _until_stopped(service: ProgramService) -> int:
    first = asyncio.Event()
    second = asyncio.Event()

    def on_signal() -> None:
        (second if first.is_set() else first).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await first.wait()
    logging.info('program=stopping')
    return await service.drain(second)

"""The gateway: forwards calls to replicas, and places models while it holds the lease.

Owns the service: settings, background tasks, readiness and graceful shutdown. Relies on
:mod:`limeshelf.programs.components`, which creates and connects the components.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from pathlib import Path
from typing import Annotated

import typer
import uvloop
from aiomisc import Service, entrypoint

from limeshelf.errors import InvalidDocument
from limeshelf.gateway.frontend import GatewayPhase
from limeshelf.metrics.event_log import event_log, log_change
from limeshelf.metrics.prometheus import MetricsServer
from limeshelf.peers.link_budget import LinkBudget
from limeshelf.peers.node import PeerNode
from limeshelf.programs.components import GatewayComponents
from limeshelf.programs.process_signals import handle_signals, ignore_signals
from limeshelf.programs.rules import access_rule, retry_rule
from limeshelf.programs.settings_start import read_settings, report_problems
from limeshelf.programs.settings_watch import SettingsWatch
from limeshelf.settings.gateway import GatewaySettings, SettingsFile
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s
from limeshelf.util.tasks import TaskSet

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
#: Time between failing readiness and refusing calls during a graceful shutdown, in which the
#: load balancer detects the change.
BALANCER_NOTICE_S = 2.9
#: Longest time for which a shutdown waits for the store to free the lease, which ends by itself.
HAND_OVER_TIMEOUT_S = 1.2
#: Share of the grace period after which running calls are abandoned, so that the process exits
#: before it is killed.
DRAIN_GRACE_SHARE = 0.93
#: Interval between checks for running calls during a shutdown.
DRAIN_CHECK_S = 0.05
#: Interval between steps of renewing or contending for the lease.
LEASE_STEP_S = 0.3
#: The same interval while the store does not respond.
LEASE_RETRY_S = 1.0
#: Longest interval between checks of a starting process for a configuration and replicas.
READY_CHECK_S = 0.1
#: Number of threads for operations that would block the event loop.
THREAD_POOL_SIZE = 2


class Gateway(Service):
    """One gateway process.

    :ivar settings_path: settings file to watch for changes; ``None`` to watch none.
    :ivar settings_file: what *settings* were read from; needed to watch the file.
    :ivar components: set once the process has started.
    """

    settings: GatewaySettings
    settings_path: Path | None = None
    settings_file: SettingsFile | None = None
    watch: SettingsWatch | None = None
    components: GatewayComponents

    async def start(self) -> None:
        """Start to listen; readiness follows once a configuration and a replica are known."""
        settings = self.settings
        self.tasks = TaskSet()
        budget = LinkBudget.from_mbps(settings.machine.link_mbps)
        node = PeerNode(settings.ip, settings.peer_port, settings.data_centre, budget)
        await node.start()
        self.components = GatewayComponents(settings, node, self.tasks)
        self.components.register_handlers()
        await self.components.frontend.start(settings.calls_address, settings.readiness_address)
        if settings.forward_port:
            forward_address = f'{settings.ip}:{settings.forward_port}'
            await self.components.frontend.start_carrying(forward_address)
        self.metrics_server = MetricsServer(
            self.components.metrics, self.components.frontend.make_server
        )
        await self.metrics_server.start(settings.ip, settings.figures_port)
        self._start_tasks()
        log_change('started', ip=settings.ip, data_centre=settings.data_centre, pid=os.getpid())

    def _start_tasks(self) -> None:
        components = self.components
        for follower in components.followers:
            self.tasks.supervise(follower.run, f'follow-{follower.copy.table}')
        self.tasks.supervise(components.digests.run, 'digests')
        self.tasks.supervise(components.states.run, 'states')
        self.tasks.supervise(components.rows.run, 'rows')
        self.tasks.supervise(components.streams.run, 'streams')
        self.tasks.supervise(components.suspension.run, 'suspension')
        self.tasks.supervise(components.crashes.run, 'crashes')
        self.tasks.supervise(components.notice_exchange.run, 'notices')
        self.tasks.supervise(components.crash_detector.run, 'replica-ends')
        self.tasks.supervise(components.quarantine_sync.run, 'quarantine')
        self.tasks.supervise(components.registration.keep_row, 'register', components.store)
        self.tasks.supervise(components.dispatch.run, 'dispatch')
        self.tasks.supervise(self._run_leadership, 'lead')
        self.tasks.supervise(components.placement.run, 'placement')
        self.tasks.supervise(components.pool.sweep, 'sweep', components.directory)
        self.tasks.supervise(components.pool.probe, 'probe', components.directory)
        self.tasks.supervise(self._become_ready, 'ready')
        if self.settings_path is not None and self.settings_file is not None:
            self.watch = SettingsWatch(
                self.settings_path, self.settings_file, self._apply_settings
            )
            self.tasks.supervise(self.watch.run, 'settings')

    def _apply_settings(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.components.budgets.change_rule(retry_rule(settings))
        self.components.access.rule = access_rule(settings)
        self.components.store.change_address(settings.store_address)
        self.components.members.change_own_weight(settings.weight)
        self.components.add_seeds(settings)

    def reload(self) -> None:
        """Reload the settings; called on a signal."""
        if self.watch is not None:
            self.watch.check_now()

    async def _become_ready(self) -> None:
        directory = self.components.directory
        while self.components.active_config.config is None or not directory.all():
            await directory.wait_for_change(READY_CHECK_S)
        self.components.frontend.set_phase(GatewayPhase.SERVING)

    async def _run_leadership(self) -> None:
        components = self.components
        while True:
            is_lost = components.leadership.store_is_unavailable
            await asyncio.sleep(jittered_s(LEASE_RETRY_S if is_lost else LEASE_STEP_S))
            self._update_gateway_count()
            if components.engine_reach.is_cut_off():
                await self._hand_over_lease()
                continue
            if components.leadership.term is None and not self._may_contend():
                continue
            await components.leadership.renew_or_acquire()

    def _may_contend(self) -> bool:
        """Return whether to try to acquire the lease, which is of no use without replicas."""
        may_contend = self.components.leader.may_contend()
        return may_contend and not self.components.engine_reach.reaches_none()

    async def _hand_over_lease(self) -> None:
        """Let another gateway lead, as this one reaches no replica."""
        components = self.components
        fence = components.leadership.fence
        if fence:
            await components.leadership.hand_over('cut_off')
            components.states.announce_end(fence)

    def _update_gateway_count(self) -> None:
        gateways = self.components.digests.gateway_count
        if gateways != self.components.budgets.gateways:
            log_change('gateways_counted', gateways=gateways)
        self.components.budgets.gateways = gateways
        self.components.pool.gateways = gateways or 1

    async def drain(self) -> int:
        """Shut down gracefully; return the exit code."""
        frontend = self.components.frontend
        drain_started_s = boottime_s()
        frontend.set_phase(GatewayPhase.NOTICE)
        await asyncio.gather(self._hand_over_duties(), asyncio.sleep(BALANCER_NOTICE_S))
        frontend.set_phase(GatewayPhase.DRAINING)
        self.components.pipeline.refuse_waiting()
        end_s = drain_started_s + self.settings.grace_s * DRAIN_GRACE_SHARE
        while frontend.is_answering and boottime_s() < end_s:
            frontend.close_idle_connections()
            await asyncio.sleep(DRAIN_CHECK_S)
        log_change('stopped', cut_off=frontend.requests_in_flight)
        return EXIT_OK

    async def _hand_over_duties(self) -> None:
        """Free the lease, and tell the other gateways; the store may take a while to answer."""
        fence = self.components.leadership.fence
        try:
            async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
                await self.components.leadership.release()
        except TimeoutError:
            log_change('lease_not_released', fence=fence, cause='TimeoutError')
        self.components.registration.announce_leaving()

    async def stop(self, exception: Exception | None = None) -> None:
        """Close everything."""
        await self.tasks.close()
        await self.components.close()
        await self.metrics_server.close()


def _run_gateway(file: SettingsFile, path: Path) -> int:
    event_log.open(file.settings.instance_id)
    # Excludes the objects that exist at startup from later full garbage collections.
    gc.collect()
    gc.freeze()
    service = Gateway(settings=file.settings, settings_path=path, settings_file=file)
    with entrypoint(
        service,
        log_config=False,
        pool_size=THREAD_POOL_SIZE,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        return int(loop.run_until_complete(_until_stopped(service)))


async def _until_stopped(service: Gateway) -> int:
    stopping = asyncio.Event()
    handle_signals(asyncio.get_running_loop(), stopping.set, service.reload)
    try:
        await stopping.wait()
        return await service.drain()
    finally:
        ignore_signals()


def run(
    settings: Annotated[Path, typer.Option(help='Settings file of the instance, in JSON.')],
) -> None:
    """Take calls and bring them to replicas; place models while holding the lease."""
    try:
        file = read_settings(settings)
    except InvalidDocument as error:
        report_problems(settings, error)
        sys.exit(EXIT_BAD_SETTINGS)
    sys.exit(_run_gateway(file, settings))


def run_command() -> None:
    """Run the gateway with the options of the command line."""
    typer.run(run)

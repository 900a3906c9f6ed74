"""``limeshelf-gateway``: takes calls, and places models while it holds the lease."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path
from typing import Annotated

import typer
import uvloop
from aiomisc import Service, entrypoint

from limeshelf.admission.retry_budget import RetryBudgets, RetryRule
from limeshelf.demand.meter import DemandMeter
from limeshelf.dispatch.client import DispatchClient
from limeshelf.errors import InvalidDocument
from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.rows import Row
from limeshelf.feeds.table_copy import FollowRule, TableCopy
from limeshelf.gateway.edge import Edge, GatewayPhase
from limeshelf.gateway.pipeline import Pipeline
from limeshelf.gateway.selection import ReplicaSelector
from limeshelf.lease.leadership import Leadership
from limeshelf.membership.digest_exchange import DigestExchange
from limeshelf.membership.leader import LeaderView
from limeshelf.membership.member import MEMBER_TABLE, Member
from limeshelf.membership.members import Members
from limeshelf.membership.registration import Registration
from limeshelf.membership.row_exchange import RowExchange
from limeshelf.membership.state_changes import StateChanges
from limeshelf.membership.state_exchange import StateExchange
from limeshelf.membership.want_exchange import WantExchange
from limeshelf.metrics.event_log import event_log, log_change
from limeshelf.metrics.prometheus import GatewayMetrics, MetricsServer
from limeshelf.orders.sender import OrderSender
from limeshelf.peers.node import PeerNode
from limeshelf.placement.service import PlacementService
from limeshelf.platform.configuration import CONFIG_KEY, CONFIG_TABLE, read_config
from limeshelf.platform.orders import ReplicaOrderClient
from limeshelf.platform.replicas import REPLICA_TABLE, read_record
from limeshelf.platform.store import StoreClient
from limeshelf.platform.wire import PlatformWire
from limeshelf.programs.settings_watch import SettingsWatch
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.pool import ConnectionPool
from limeshelf.routing.chooser import Chooser
from limeshelf.settings.gateway import GatewaySettings, load_gateway_settings
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s
from limeshelf.util.tasks import TaskSet

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
#: Rows of replicas change all the time, so they also show whether the store is
#: in reach; a change must be known everywhere within two seconds.
REPLICA_RULE = FollowRule(wait_s=0.7, pace_s=0.55, stale_s=1.2)
CONFIG_RULE = FollowRule(wait_s=1.4, stale_s=2.5)
MEMBER_RULE = FollowRule(wait_s=8.0, stale_s=12.0)
#: Time in which the balancer sees that readiness fails.
NOTICE_S = 2.9
#: Share of the grace after which running calls are given up.
LAST_SHARE = 0.93
LEAD_STEP_S = 0.3
#: A starting process looks at least this often whether it knows enough.
HEAR_S = 0.1


class Gateway(Service):
    """One gateway process."""

    settings: GatewaySettings
    #: Where the settings were read; ``None`` where nobody changes them.
    settings_path: Path | None = None
    watch: SettingsWatch | None = None

    async def start(self) -> None:
        """Listen at once; call ourselves ready when a configuration is in force."""
        settings = self.settings
        self.tasks = TaskSet()
        self.figures = GatewayMetrics()
        self.store = StoreClient(settings.store_address)
        self.changes = StateChanges()
        self.directory = ReplicaDirectory(read_record, self.changes.note_replica)
        self.node = PeerNode(settings.ip, settings.peer_port, settings.data_centre)
        await self.node.start()
        own = Member(self.node.address, settings.data_centre, settings.weight)
        self.members = Members(own)
        self.row_exchange = RowExchange(self.node, self.members)
        self._make_fleet()
        self._make_path()
        self._add_seeds()
        self.registration.start()
        self.digests.start()
        self.states.start()
        self.wants.start()
        self.row_exchange.start()
        self.dispatch.start()
        await self.edge.start(settings.calls_address, settings.readiness_address)
        self.figures_server = MetricsServer(self.figures)
        await self.figures_server.start(settings.ip, settings.figures_port)
        self._start_tasks()
        log_change('started', ip=settings.ip, data_centre=settings.data_centre, pid=os.getpid())

    def _make_fleet(self) -> None:
        settings = self.settings
        self.leadership = Leadership(self.store, settings.instance_id, settings.placement.lease_s)
        self.engines = ReplicaOrderClient()
        sender = OrderSender(
            self.engines,
            self.directory,
            self.leadership,
            settings.instance_id,
            self.figures,
            lambda: self.pipeline.config,
        )
        self.fleet = PlacementService(
            self.directory,
            self.leadership,
            sender,
            self.tasks,
            lambda: self.pipeline.config,
            settings.placement.window_s,
            lambda model, tokens: self.dispatch.dispatcher.speed.read_ms(model, tokens),
            self.changes.note_load,
        )
        self._make_membership()
        rows = self.row_exchange
        for copy in (
            TableCopy(CONFIG_TABLE, self._take_config, CONFIG_RULE),
            TableCopy(REPLICA_TABLE, self.directory.take_row, REPLICA_RULE),
            TableCopy(MEMBER_TABLE, self.registration.take_row, MEMBER_RULE),
        ):
            rows.copies[copy.table] = copy
        self.followers = [
            TableFollower(copy, self.store, rows.is_due, rows.patience_s, rows.announce_page)
            for copy in rows.copies.values()
        ]

    def _make_membership(self) -> None:
        instance_id = self.settings.instance_id
        self.leader = LeaderView(self.members, self.leadership)
        self.wants = WantExchange(self.node, self.leader, self.fleet)
        self.meter = DemandMeter(self.directory, self.wants.report)
        self.registration = Registration(instance_id, self.node, self.members, self.leader)
        self.digests = DigestExchange(
            instance_id,
            self.node,
            self.members,
            self.leader,
            self.leadership,
            self.directory,
            self.meter,
            self.fleet.totals,
        )
        self.states = StateExchange(
            self.node,
            self.members,
            self.leader,
            self.leadership,
            self.directory,
            self.meter,
            self.fleet,
            self.changes,
        )

    def _make_path(self) -> None:
        settings = self.settings
        wire = PlatformWire()
        self.budgets = RetryBudgets(_retry_rule(settings))
        self.pool = ConnectionPool(wire)
        chooser = Chooser(self.directory, settings.data_centre)
        self.dispatch = DispatchClient(
            self.node,
            self.directory,
            lambda: self.pipeline.config,
            self.leader.dispatcher,
            settings.data_centre,
        )
        selector = ReplicaSelector(self.directory, chooser, self.dispatch)
        self.pipeline = Pipeline(
            wire, self.directory, selector, self.pool, self.meter, self.budgets
        )
        self.edge = Edge(self.pipeline, wire, self.figures)

    def _add_seeds(self) -> None:
        for seed in self.settings.seeds:
            host = seed.rpartition(':')[0]
            if host != self.settings.ip:
                self.members.add(f'{host}:{self.settings.peer_port}')

    def _start_tasks(self) -> None:
        for follower in self.followers:
            self.tasks.keep(follower.run, f'follow-{follower.copy.table}')
        self.tasks.keep(self.digests.run, 'digests')
        self.tasks.keep(self.states.run, 'states')
        self.tasks.keep(self.row_exchange.run, 'rows')
        self.tasks.keep(self.registration.write_row, 'register', self.store)
        self.tasks.keep(self.dispatch.run, 'dispatch')
        self.tasks.keep(self._lead, 'lead')
        self.tasks.keep(self.fleet.run, 'fleet')
        self.tasks.keep(self.pool.sweep, 'sweep', self.directory)
        self.tasks.keep(self.pool.probe, 'probe', self.directory)
        self.tasks.keep(self._become_ready, 'ready')
        if self.settings_path is not None:
            self.watch = SettingsWatch(self.settings_path, self.settings, self._take_settings)
            self.tasks.keep(self.watch.run, 'settings')

    def _take_settings(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.budgets.change_rule(_retry_rule(settings))
        self.store.change_address(settings.store_address)
        self.members.own.weight = settings.weight
        self._add_seeds()

    def reload(self) -> None:
        """Read the settings again, as a signal asks for."""
        if self.watch is not None:
            self.watch.look_now()

    def _take_config(self, row: Row) -> None:
        if row.key != CONFIG_KEY or row.gone:
            return
        try:
            config = read_config(row.value)
        except InvalidDocument as error:
            log_change('config_invalid', row_version=row.version, problem=str(error))
            return
        known = self.pipeline.config
        if known is not None and config.version <= known.version:
            return
        self.pipeline.config = config
        self.digests.config_version = config.version
        log_change(
            'config', version=config.version, routes=len(config.routes), row_version=row.version
        )
        self.directory.notify_change()

    async def _become_ready(self) -> None:
        while self.pipeline.config is None or not self.directory.all():
            await self.directory.wait_for_change(HEAR_S)
        self.edge.enter(GatewayPhase.SERVING)

    async def _lead(self) -> None:
        while True:
            await asyncio.sleep(jittered_s(LEAD_STEP_S))
            self.budgets.gateways = self.pool.gateways = self.digests.gateway_count
            if self.leadership.term is None and not self.leader.may_contend():
                continue
            await self.leadership.step()

    async def drain(self) -> int:
        """Stop as planned; return the exit code."""
        began_s = boottime_s()
        self.edge.enter(GatewayPhase.NOTICE)
        await self.leadership.release()
        self.registration.announce_leaving()
        await asyncio.sleep(NOTICE_S)
        self.edge.enter(GatewayPhase.DRAINING)
        self.pipeline.refuse_waiting()
        end_s = began_s + self.settings.grace_s * LAST_SHARE
        while self.edge.running and boottime_s() < end_s:
            self.edge.end_idle_connections()
            await asyncio.sleep(0.05)
        log_change('stopped', cut_off=self.edge.running)
        return EXIT_OK

    async def stop(self, exception: Exception | None = None) -> None:
        """Close everything."""
        await self.tasks.close()
        await self.edge.close()
        await self.pool.close()
        await self.engines.close()
        await self.store.close()
        await self.node.close()
        await self.figures_server.close()


def _retry_rule(settings: GatewaySettings) -> RetryRule:
    retries = settings.retries
    return RetryRule(retries.ratio, retries.slack, retries.window_s)


def _run_gateway(settings: GatewaySettings, path: Path) -> int:
    event_log.open(settings.instance_id)
    gc.collect()
    gc.freeze()
    service = Gateway(settings=settings, settings_path=path)
    with entrypoint(
        service,
        log_config=False,
        pool_size=2,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        return int(loop.run_until_complete(_until_stopped(service)))


async def _until_stopped(service: Gateway) -> int:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    await stopping.wait()
    return await service.drain()


def run(
    settings: Annotated[Path, typer.Option(help='Settings file of the instance, in JSON.')],
) -> None:
    """Take calls and bring them to replicas; place models while holding the lease."""
    try:
        loaded = load_gateway_settings(settings)
    except InvalidDocument as error:
        for problem in error.problems:
            sys.stderr.write(f'{settings}: {problem.path}: {problem.message}\n')
        sys.exit(EXIT_BAD_SETTINGS)
    sys.exit(_run_gateway(loaded, settings))


def main() -> None:
    """Run the console script."""
    os.environ['UV_USE_IO_URING'] = '0'
    typer.run(run)


if __name__ == '__main__':
    main()

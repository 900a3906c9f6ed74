"""Creates the components of a gateway and connects them; contains no other logic.

Each component is created after those it depends on: configuration, replicas, membership,
dispatch and placement first, the call path last. Owns nothing but the components.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from limeshelf.admission.retry_budget import RetryBudgets
from limeshelf.calls.active_config import ActiveConfig
from limeshelf.crashes.crash_detector import CrashDetector
from limeshelf.crashes.crashing_parts import CrashingParts
from limeshelf.crashes.lost_loads import LostLoads
from limeshelf.crashes.quarantine import Quarantine
from limeshelf.crashes.quarantine_sync import QuarantineSync
from limeshelf.crashes.suspects import Suspects
from limeshelf.crashes.trials import TrialTurns
from limeshelf.demand.meter import DemandMeter
from limeshelf.demand.unserved import UnservedKind
from limeshelf.dispatch.client import DispatchClient
from limeshelf.dispatch.exchange import DispatchExchange
from limeshelf.dispatch.permits import PermitExchange
from limeshelf.dispatch.rate_limiter import ReplicaRateLimiters
from limeshelf.feeds.change_budget import ChangeBudget
from limeshelf.feeds.store_clock import StoreClock
from limeshelf.forwarding.targets import ForwardTargets
from limeshelf.gateway.access import AccessGuard
from limeshelf.gateway.attempts import AttemptRunner
from limeshelf.gateway.buffer_budget import BufferBudget
from limeshelf.gateway.config_freshness import ConfigFreshness
from limeshelf.gateway.engine_reach import EngineReach
from limeshelf.gateway.forwarder import Forwarder
from limeshelf.gateway.frontend import HttpFrontend
from limeshelf.gateway.limits import LimitGuard
from limeshelf.gateway.pipeline import Pipeline
from limeshelf.gateway.quarantine import QuarantineGuard
from limeshelf.gateway.selection import ReplicaSelector
from limeshelf.gateway.steps import StepChooser
from limeshelf.gateway.stream_binding import StreamBinder
from limeshelf.lease.leadership import Leadership
from limeshelf.membership.crash_exchange import CrashExchange
from limeshelf.membership.digest_exchange import DigestExchange
from limeshelf.membership.dispatchers import Dispatchers
from limeshelf.membership.leader import LeaderView
from limeshelf.membership.limit_exchange import LimitExchange
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.model_request_exchange import ModelRequestExchange
from limeshelf.membership.notice_exchange import NoticeExchange
from limeshelf.membership.registration import Registration
from limeshelf.membership.row_exchange import RowExchange
from limeshelf.membership.state_changes import StateChanges
from limeshelf.membership.state_exchange import StateExchange
from limeshelf.membership.state_refresh import StateRefresh
from limeshelf.membership.store_polling import PollingDelays
from limeshelf.membership.update_sizes import UpdateSizes
from limeshelf.metrics.event_log import log_change
from limeshelf.metrics.prometheus import GatewayMetrics
from limeshelf.orders.sender import OrderSender
from limeshelf.placement.service import PlacementService
from limeshelf.platform.configuration import CONFIG_TABLE
from limeshelf.platform.orders import ReplicaOrderClient
from limeshelf.platform.replicas import read_record
from limeshelf.platform.store import StoreClient
from limeshelf.platform.wire import PlatformWire
from limeshelf.programs.followed_tables import ConfigRows, follow_tables
from limeshelf.programs.rules import access_rule, limit_rule, retry_rule
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.notices import NoticeHandler
from limeshelf.replicas.pool import ConnectionPool
from limeshelf.routing.plain_selector import PlainReplicaSelector
from limeshelf.streams.exchange import StreamExchange
from limeshelf.util.clock import MS_PER_S
from limeshelf.util.suspension import SuspensionWatch

if TYPE_CHECKING:
    from limeshelf.peers.node import PeerNode
    from limeshelf.settings.gateway import GatewaySettings
    from limeshelf.util.tasks import TaskSet


class GatewayComponents:
    """All components of one gateway, connected to each other.

    :param node: must already be listening, since its address identifies this gateway.
    :param tasks: runs the moves of the placement and the checks of replicas.
    """

    def __init__(self, settings: GatewaySettings, node: PeerNode, tasks: TaskSet) -> None:
        self.node = node
        self.active_config = ActiveConfig()
        self.metrics = GatewayMetrics()
        self._export_peer_metrics(node)
        self.buffers = BufferBudget(settings.machine.buffer_bytes)
        self.store_clock = StoreClock()
        self.store = StoreClient(
            settings.store_address, self.metrics.observe_store_call, self.store_clock
        )
        self.changes = StateChanges()
        self.directory = ReplicaDirectory(
            read_record, self.changes.add_replica, self.metrics.observe_restart
        )
        self.notices = NoticeHandler(self.directory, count=self.metrics.observe_notice)
        own = Member(node.address, settings.data_centre, settings.weight)
        own.forward_port = settings.forward_port
        self.members = Members(own)
        self.leadership = Leadership(
            self.store,
            settings.instance_id,
            settings.placement.effective_lease_s,
            settings.placement.replicas_check_fences,
            self.store_clock,
            settings.placement.order_gap_s,
        )
        self.leader = LeaderView(self.members, self.leadership)
        self.dispatchers = Dispatchers(self.members)
        self._make_crash_tracking(tasks)
        self._make_dispatch(settings)
        self._make_placement(settings, tasks)
        self._make_exchanges(settings)
        self._make_call_path(settings)
        self.add_seeds(settings)

    def _export_peer_metrics(self, node: PeerNode) -> None:
        node.traffic.on_sent = self.metrics.observe_peer_frame
        self.metrics.watch_peers(
            lambda: sum(one.total_bytes for one in node.waiting()), lambda: node.dropped
        )

    def _make_crash_tracking(self, tasks: TaskSet) -> None:
        """Create the components that track the calls during which replicas crashed."""
        self.suspects = Suspects()
        self.crash_detector = CrashDetector(self.directory, self.suspects, tasks)
        self.lost_loads = LostLoads(self.suspects, self.crash_detector)
        self.quarantine_sync = QuarantineSync(self.store, self.suspects)
        self.suspension = SuspensionWatch(self._handle_resume)
        self.crashes = CrashExchange(self.node, self.members, self.suspects)

    def _make_dispatch(self, settings: GatewaySettings) -> None:
        owner_of = self.dispatchers.of_centre
        limiters = ReplicaRateLimiters(owner_of, self.members.centres)
        self.permits = PermitExchange(self.node, self.directory, self.notices, limiters)
        self.dispatch = DispatchExchange(
            self.node,
            self.directory,
            self.active_config.get,
            owner_of,
            settings.data_centre,
            limiters,
        )
        self.dispatch_client = DispatchClient(
            self.dispatch, self.directory, owner_of, settings.data_centre
        )

    def _make_placement(self, settings: GatewaySettings, tasks: TaskSet) -> None:
        self.order_client = ReplicaOrderClient(self.notices.handle_order_response)
        sender = OrderSender(
            self.order_client,
            self.directory,
            self.leadership,
            settings.instance_id,
            self.metrics,
            self.active_config.get,
            lambda replica, item: self.lost_loads.record_lost(replica, *item),
        )
        self.placement = PlacementService(
            self.directory,
            self.leadership,
            sender,
            tasks,
            self.active_config.get,
            settings.placement.window_s,
            self.dispatch.dispatcher.speed.prefill_ms,
            self.changes.signal_load,
            self.lost_loads,
        )
        for kind in UnservedKind:
            self._export_unserved_metrics(kind)

    def _export_unserved_metrics(self, kind: UnservedKind) -> None:
        self.metrics.watch_unserved(
            kind,
            lambda: self.placement.unserved(kind).longest_s,
            lambda: self.placement.unserved(kind).keys,
        )

    def _make_exchanges(self, settings: GatewaySettings) -> None:
        """Create the exchanges between gateways and the followers of the store's tables."""
        instance_id = settings.instance_id
        self.notice_exchange = NoticeExchange(
            self.node, self.members, self.directory, self.notices
        )
        self.model_requests = ModelRequestExchange(self.node, self.leader, self.placement)
        self.meter = DemandMeter(self.directory, self.model_requests.request)
        self.registration = Registration(instance_id, self.node, self.members, self.leader)
        self.limits = LimitExchange(
            self.node, self.members, self.active_config, limit_rule(settings)
        )
        self.digests = DigestExchange(
            instance_id,
            self.node,
            self.members,
            self.leader,
            self.leadership,
            self.directory,
            self.meter,
            self.placement.totals,
            self.active_config,
            self.dispatchers,
            self.dispatch.dispatcher.speed,
            self.limits,
        )
        self.states = StateExchange(
            self.node,
            self.members,
            self.leader,
            self.leadership,
            self.directory,
            self.meter,
            self.placement,
            self.changes,
            StateRefresh(self.node.budget),
        )
        self.streams = StreamExchange(self.node, self.members, self.directory)
        freshness = settings.freshness
        change_limit_s = min(freshness.config_s, freshness.replica_s)
        self.rows = RowExchange(
            self.node,
            self.members,
            PollingDelays.from_budget(ChangeBudget(change_limit_s)),
            self.store_clock,
            sizes=UpdateSizes(self.node.budget),
            count_rows=self.metrics.observe_rows,
        )
        config_rows = ConfigRows(
            self.active_config, self.directory, self.metrics.observe_config_lag
        )
        self.followers = follow_tables(
            self.store,
            self.rows,
            config_rows,
            self.directory,
            self.registration,
            self.quarantine_sync,
            freshness,
            self.metrics,
        )

    def _make_call_path(self, settings: GatewaySettings) -> None:
        wire = PlatformWire()
        self.budgets = RetryBudgets(retry_rule(settings))
        self.pool = ConnectionPool()
        self.metrics.watch_unreachable(
            lambda: sum(replica.health.awaits_probe for replica in self.directory.all())
        )
        self.notices.gateways = lambda: self.pool.gateways
        plain = PlainReplicaSelector(
            self.directory, settings.data_centre, lambda: self.pool.gateways
        )
        selector = ReplicaSelector(self.directory, plain, self.dispatch_client, self.permits)
        self.freshness = ConfigFreshness(
            self.active_config,
            self._config_copy_age_s,
            ChangeBudget(settings.freshness.config_s).current_for_s,
        )
        self.access = AccessGuard(
            self.active_config, self.freshness, self.config_age_s, access_rule(settings)
        )
        turns = TrialTurns(
            self.members.own.address,
            lambda: [member.address for member in self.members.others()],
        )
        guard = QuarantineGuard(
            Quarantine(self.suspects, turns),
            self.crash_detector,
            CrashingParts(self.suspects, turns),
        )
        binder = StreamBinder(self.streams, self.active_config)
        attempts = AttemptRunner(
            wire,
            self.directory,
            self.pool,
            guard,
            self.notices,
            self.meter,
            binder,
        )
        self.forwarder = Forwarder(
            wire,
            ForwardTargets(self.members),
            self.meter,
            settings.ip,
            self.metrics.observe_forwarded,
        )
        self.engine_reach = EngineReach(self.active_config, self.directory, self.forwarder)
        self.pipeline = Pipeline(
            wire,
            self.directory,
            selector,
            attempts,
            self.meter,
            self.active_config,
            self.freshness,
            self.access,
            LimitGuard(self.limits),
            guard,
            self.forwarder,
            StepChooser(self.meter, self.budgets, self.forwarder, self.pool),
            binder,
        )
        self.frontend = HttpFrontend(
            self.pipeline,
            wire,
            self.metrics,
            self.members.has_host,
            self.buffers,
            settings.machine.caller_connections,
            self.freshness,
        )

    def _handle_resume(self, slept_s: float) -> None:
        """Log and count a suspension of this machine, and notify the members."""
        log_change('woke', slept_ms=int(slept_s * MS_PER_S))
        self.metrics.observe_suspension()
        self.members.add_suspension(slept_s)

    def config_age_s(self) -> float:
        """Return an upper bound on the time for which the configuration may be outdated.

        In seconds; infinite if a later configuration was received that cannot be read.
        """
        if self.active_config.is_superseded:
            return math.inf
        return self.store_clock.age_upper_bound_s(self.rows.copies[CONFIG_TABLE].confirmed_ms)

    def _config_copy_age_s(self) -> float:
        """Return :meth:`config_age_s`, or an estimate where the store states no time."""
        copy = self.rows.copies[CONFIG_TABLE]
        if copy.confirmed_ms or self.active_config.is_superseded:
            return self.config_age_s()
        return copy.age_s

    def add_seeds(self, settings: GatewaySettings) -> None:
        """Add the gateways listed in the settings, so that a start without the store works."""
        for seed in settings.seeds:
            host = seed.rpartition(':')[0]
            if host != settings.ip:
                self.members.add(f'{host}:{settings.peer_port}')

    def register_handlers(self) -> None:
        """Register the handlers of messages from other gateways."""
        self.registration.start()
        self.digests.start()
        self.limits.start()
        self.crashes.start()
        self.states.start()
        self.model_requests.start()
        self.rows.start()
        self.dispatch.start()
        self.permits.start()
        self.notice_exchange.start()
        self.streams.start()

    async def close(self) -> None:
        """Close all connections."""
        await self.frontend.close()
        await self.pool.close()
        await self.forwarder.close()
        await self.order_client.close()
        await self.store.close()
        await self.node.close()

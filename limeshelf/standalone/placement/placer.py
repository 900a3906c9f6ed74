"""Placement loop of one data centre: builds the view, plans, checks and orders moves.

Owns the workers of the own engines, the planner with the current policy, and the rate limit
of loads. Only the lease holder sends orders. The rules are in ``planner``, ``policies``,
``load_check``, ``gate`` and ``ledger``.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from limeshelf.standalone.config.document import PolicyKind
from limeshelf.standalone.config.items import model_of
from limeshelf.standalone.placement.demand import DemandTracker
from limeshelf.standalone.placement.gate import UnloadGate
from limeshelf.standalone.placement.intents import IntentLog
from limeshelf.standalone.placement.ledger import Ledger
from limeshelf.standalone.placement.load_check import LoadCheck, check_load
from limeshelf.standalone.placement.planner import Planner
from limeshelf.standalone.placement.policies import placement_policies
from limeshelf.standalone.placement.view import Move, MoveKind
from limeshelf.standalone.placement.view_builder import PlacementViewBuilder
from limeshelf.standalone.placement.worker import EngineWorker, UnnumberedOrder
from limeshelf.standalone.services.instances import ListedKind
from limeshelf.standalone.upstreams.messages import OrderAction
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s
from limeshelf.util.rate import TokenBucket
from limeshelf.util.tasks import TaskSet

if TYPE_CHECKING:
    from limeshelf.metrics.decision_log import DecisionLog
    from limeshelf.metrics.statsd import Metrics
    from limeshelf.settings.model import PlacerSettings
    from limeshelf.standalone.config.document import Policy
    from limeshelf.standalone.config.holder import ConfigHolder
    from limeshelf.standalone.lease.keeper import LeaderLease
    from limeshelf.standalone.membership.upstreams import Upstream, UpstreamDirectory
    from limeshelf.standalone.placement.anchors import AnchorDirectory
    from limeshelf.standalone.services.table import TableClient
    from limeshelf.standalone.upstreams.pool import UpstreamPool

#: Interval between reads of the anchors: two rounds at the default of placer.round_s.
ANCHOR_READ_S = 1.0


class Placer:
    """Decides placement for its data centre while it holds the lease."""

    def __init__(
        self,
        data_centre: str,
        settings: PlacerSettings,
        config: ConfigHolder,
        upstreams: UpstreamDirectory,
        pool: UpstreamPool,
        table: TableClient,
        lease: LeaderLease,
        anchors: AnchorDirectory,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self.demand = DemandTracker()
        self._data_centre = data_centre
        self._settings = settings
        self._config = config
        self._upstreams = upstreams
        self._pool = pool
        self._table = table
        self._lease = lease
        self._anchors = anchors
        self._metrics = metrics
        self._decisions = decisions
        self.workers: dict[str, EngineWorker] = {}
        self.worker_tasks: dict[str, asyncio.Task[None]] = {}
        self._tasks = TaskSet()
        self._load_rate = TokenBucket(settings.loads_per_s)
        self._planner: Planner | None = None
        self._policy: Policy | None = None
        self._anchors_read_s = float('-inf')
        self._view_builder = PlacementViewBuilder(
            data_centre, config, upstreams, anchors, self.demand, settings.lease_s
        )

    def start(self) -> None:
        """Start the lease task and the placement loop."""
        self._tasks.supervise(self._keep_lease, 'lease')
        self._tasks.supervise(self._run, 'placement')

    async def close(self) -> None:
        """Stop all tasks and release the lease."""
        await self._tasks.close()
        await self._lease.release()

    async def _keep_lease(self) -> None:
        while True:
            await self._lease.step()
            self._metrics.gauge('placement.leads', 1.0 if self._lease.is_valid() else 0.0)
            await asyncio.sleep(jittered_s(self._settings.lease_s / 3))

    async def _run(self) -> None:
        while True:
            await self.round()
            await asyncio.sleep(jittered_s(self._settings.round_s))

    async def round(self) -> None:
        """Run one placement round, if this placer leads."""
        self._assign_workers()
        if self._lease.epoch is not None:
            await self._decide()
        else:
            self._anchors.is_read = False

    def _assign_workers(self) -> None:
        """Run one worker for each engine of the data centre while leading, none otherwise."""
        engines = {
            u.upstream_id: u
            for u in self._upstreams.own_centre()
            if u.listed.kind is ListedKind.ENGINE and self._lease.epoch is not None
        }
        for upstream_id in [known for known in self.workers if known not in engines]:
            self.worker_tasks.pop(upstream_id).cancel()
            del self.workers[upstream_id]
        for upstream_id, upstream in engines.items():
            worker = self.workers.get(upstream_id)
            if worker is None:
                self._start_worker(upstream)
            else:
                worker.upstream = upstream

    def _start_worker(self, upstream: Upstream) -> None:
        upstream_id = upstream.upstream_id
        worker = EngineWorker(
            upstream,
            self._pool,
            Ledger(upstream.listed.checks_fence),
            self._lease,
            IntentLog(self._table, self._lease, upstream_id),
            self._settings,
            self._metrics,
        )
        self.workers[upstream_id] = worker
        self.worker_tasks[upstream_id] = self._tasks.supervise(worker.run, f'engine-{upstream_id}')

    async def _decide(self) -> None:
        now_s = boottime_s()
        if now_s - self._anchors_read_s > ANCHOR_READ_S and await self._anchors.refresh():
            self._anchors_read_s = now_s
        if not self._anchors.is_read or self._config.revision == 0:
            return
        self.demand.advance(now_s)
        view = self._view_builder.build(now_s, self.workers)
        gate = UnloadGate(view, self._anchors)
        for move in self._current_planner().plan(view):
            await self._execute(move, gate)
        await self._drop_old_anchors()
        self._metrics.count('placement.rounds')

    def _current_planner(self) -> Planner:
        policy = self._config.catalog.policy_for(PolicyKind.PLACEMENT, None, 1.0)
        if self._planner is None or policy != self._policy:
            placement_policy = placement_policies.get(policy.implementation).from_config(policy)
            if self._planner is None:
                self._planner = Planner(placement_policy)
            self._planner.policy = placement_policy
            self._policy = policy
            logging.info('placement=policy name=%s', policy.name)
        return self._planner

    async def _execute(self, move: Move, gate: UnloadGate) -> None:
        if move.kind in (MoveKind.ANCHOR, MoveKind.HANDOFF):
            await self._execute_anchor_move(move, gate)
            return
        worker = self.workers.get(move.upstream_id)
        if worker is None or not worker.is_ready:
            return
        if not worker.ledger.checks_fence and not self._lease.is_valid():
            return
        if move.kind is MoveKind.LOAD:
            self._load(move, worker)
        else:
            self._unload(move, worker, gate)

    async def _execute_anchor_move(self, move: Move, gate: UnloadGate) -> None:
        # The move was planned before this round's unloads, so its target may since have lost
        # the replica (tests/standalone/placement/test_reachable_scenarios.py).
        done = not gate.has_unloaded(move.model, move.upstream_id) and await self._anchors.put(
            move.model, move.upstream_id, handoff=move.kind is MoveKind.HANDOFF
        )
        self._record(move, 'made' if done else 'not_made')

    def _load(self, move: Move, worker: EngineWorker) -> None:
        item = move.item
        running = sum(other.ledger.loading_count() for other in self.workers.values())
        check = check_load(item, worker.ledger, running, self._settings.max_loads)
        if check is not LoadCheck.ALLOWED or not self._load_rate.try_take():
            # Debug level only: the planner proposes the load again in every round.
            logging.debug('load=%s upstream=%s check=%s', item.item_id, move.upstream_id, check)
            return
        worker.submit(
            UnnumberedOrder(OrderAction.LOAD, item.item_id, item.base_id, item.total_bytes)
        )
        self._metrics.count('placement.loads')
        self._record(move, 'ordered', free_bytes=worker.ledger.free_bytes)

    def _unload(self, move: Move, worker: EngineWorker, gate: UnloadGate) -> None:
        item = move.item
        if item.item_id not in worker.ledger.sure_ids():
            return
        if not gate.may_unload(item.item_id, move.upstream_id):
            self._metrics.count('placement.unloads_held_back')
            return
        worker.submit(UnnumberedOrder(OrderAction.UNLOAD, item.item_id, item.base_id, 0))
        self._metrics.count('placement.unloads')
        self._record(move, 'ordered', free_bytes=worker.ledger.free_bytes)

    async def _drop_old_anchors(self) -> None:
        deployed = {d.name for d in self._config.catalog.document.deployments}
        for model, anchor in self._anchors.all().items():
            if model in deployed or anchor.data_centre != self._data_centre:
                continue
            held = any(
                model == model_of(item_id)
                for worker in self.workers.values()
                for item_id in worker.ledger.possible_ids()
            )
            if not held:
                await self._anchors.drop(model)

    def _record(self, move: Move, result: str, **fields: object) -> None:
        self._decisions.add(
            move.model,
            'place',
            move=move.kind,
            item=move.item.item_id,
            upstream=move.upstream_id,
            policy=self._policy.name if self._policy else '',
            reason=move.reason,
            result=result,
            epoch=self._lease.epoch,
            **fields,
        )

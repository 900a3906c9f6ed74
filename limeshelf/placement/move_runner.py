"""Carries out the planned moves as orders to replicas.

Marks what a move loads and unloads as pending right away, so that the next plan takes it into
account. The order sender checks the free memory before each load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.metrics.event_log import log_change
from limeshelf.orders.order import OrderKind
from limeshelf.orders.task import Loadable, OrderTask
from limeshelf.orders.task_runner import TaskRunner
from limeshelf.placement.adapter_backoff import AdapterBackoff
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.crashes.lost_loads import LostLoads
    from limeshelf.demand.keys import ModelKey
    from limeshelf.orders.sender import OrderSender
    from limeshelf.placement.adapters import AdapterMove
    from limeshelf.placement.planner import CopyMove
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.util.tasks import TaskSet

#: Estimated duration of the unload before a load; only affects the time announced to waiting
#: calls.
UNLOAD_ESTIMATE_S = 0.6


class MoveRunner:
    """Carries out moves, each in a task of its own.

    :param on_load_start: called when the load of a model starts, so that the time when it is
        expected to be ready is announced to waiting calls.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        sender: OrderSender,
        tasks: TaskSet,
        on_load_start: Callable[[], None],
        lost_loads: LostLoads,
    ) -> None:
        self._adapter_backoff = AdapterBackoff()
        self._directory = directory
        self._sender = sender
        self._lost_loads = lost_loads
        self._runner = TaskRunner(directory, sender, self._record_load_result)
        self._tasks = tasks
        self._on_load_start = on_load_start

    def start(self, move: CopyMove) -> None:
        """Load a model on a replica after unloading the evicted copies."""
        replica = self._directory.get(move.replica_id)
        assert replica is not None
        log_change(
            'move',
            replica=move.replica_id,
            model=move.model,
            evicted=move.evicted,
            reason=move.reason,
            from_store=move.from_store,
            tier=move.tier,
            nearer=move.replicas_with_weights,
            load_s=move.load_s,
            gain=move.gain,
            loss=move.loss,
            unserved_ms=int(move.unserved_s * MS_PER_S),
        )
        ready_s = boottime_s() + move.load_s + (UNLOAD_ESTIMATE_S if move.evicted else 0.0)
        tasks = [OrderTask(OrderKind.UNLOAD, name) for name in move.evicted]
        tasks.append(OrderTask(OrderKind.LOAD, move.model, '', move.load_s))
        self._sender.pending(replica).expect_load(Loadable(move.model), ready_s)
        self._on_load_start()
        self._tasks.spawn(self._run(replica, tasks), 'move')

    def may_try_adapter(self, key: ModelKey) -> bool:
        """Return whether the backoff after failed moves allows ordering an adapter now."""
        return self._adapter_backoff.may_try(key)

    def start_adapter(self, move: AdapterMove) -> None:
        """Load an adapter on a replica after unloading the evicted one."""
        log_change(
            'adapter_move',
            replica=move.replica.replica_id,
            model=move.key.model,
            adapter=move.key.adapter,
            evicted=f'{move.evicted.model}/{move.evicted.adapter}' if move.evicted else '',
            unserved_ms=int(move.unserved_s * MS_PER_S),
        )
        pending = self._sender.pending(move.replica)
        load = OrderTask(OrderKind.LOAD, move.key.model, move.key.adapter)
        tasks = [load]
        pending.expect_load(load.item, boottime_s())
        if move.evicted is not None:
            unload = OrderTask(OrderKind.UNLOAD, move.evicted.model, move.evicted.adapter)
            tasks = [unload, load]
            pending.mark_unloading(unload.item)
        self._tasks.spawn(self._run_adapter(move, tasks), 'adapter')

    async def _run_adapter(self, move: AdapterMove, tasks: list[OrderTask]) -> None:
        succeeded = False
        try:
            succeeded = await self._run(move.replica, tasks)
        finally:
            self._adapter_backoff.record_result(move.key, succeeded)

    def _record_load_result(self, replica: Replica, task: OrderTask) -> None:
        if task.is_done(replica):
            self._lost_loads.record_loaded(replica.record.service, task.model, task.adapter)
        else:
            self._lost_loads.record_lost(replica, *task.item)

    async def _run(self, replica: Replica, tasks: list[OrderTask]) -> bool:
        try:
            done = await self._runner.run(replica, tasks)
        finally:
            self._sender.pending(replica).unmark_unloading(task.item for task in tasks)
        if not done:
            last = tasks[-1]
            log_change(
                'move_failed',
                replica=replica.replica_id,
                model=last.model,
                adapter=last.adapter,
            )
        return done

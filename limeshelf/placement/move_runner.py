"""Turns the planner's moves into orders and sees them through.

Owns nothing; marks at once what a move brings and takes away, so that the next plan
counts it.
Relies on the task runner, whose order sender checks the room before each load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.metrics.event_log import log_change
from limeshelf.orders.order import OrderKind
from limeshelf.orders.task import Loadable, OrderTask
from limeshelf.orders.task_runner import TaskRunner
from limeshelf.placement.adapter_retries import AdapterRetries
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

#: An unload before a load takes about this long; it moves only the time that is announced to
#: waiting calls.
UNLOAD_S = 0.6


class MoveRunner:
    """Carries out moves, each in a task of its own.

    :param on_load: called when the load of a model begins, so that waiting calls
        learn when it is likely there.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        sender: OrderSender,
        tasks: TaskSet,
        on_load: Callable[[], None],
        lost_loads: LostLoads,
    ) -> None:
        self._adapter_retries = AdapterRetries()
        self._directory = directory
        self._sender = sender
        self._lost_loads = lost_loads
        self._runner = TaskRunner(directory, sender, self._note_load_ended)
        self._tasks = tasks
        self._on_load = on_load

    def begin(self, move: CopyMove) -> None:
        """Load a model at a replica, after the evicted ones are unloaded there."""
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
            nearer=move.nearer,
            load_s=move.load_s,
            gain=move.gain,
            loss=move.loss,
            unserved_ms=int(move.unserved_s * MS_PER_S),
        )
        ready_s = boottime_s() + move.load_s + (UNLOAD_S if move.evicted else 0.0)
        tasks = [OrderTask(OrderKind.UNLOAD, name) for name in move.evicted]
        tasks.append(OrderTask(OrderKind.LOAD, move.model, '', move.load_s))
        self._sender.pending(replica).expect(Loadable(move.model), ready_s)
        self._on_load()
        self._tasks.spawn(self._run(replica, tasks), 'move')

    def may_try(self, key: ModelKey) -> bool:
        """Return whether an adapter may be ordered now, by how its last moves ended."""
        return self._adapter_retries.may_try(key)

    def begin_adapter(self, move: AdapterMove) -> None:
        """Load an adapter at a replica, after the evicted one is unloaded there."""
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
        pending.expect(load.item, boottime_s())
        if move.evicted is not None:
            unload = OrderTask(OrderKind.UNLOAD, move.evicted.model, move.evicted.adapter)
            tasks = [unload, load]
            pending.note_unloading(unload.item)
        self._tasks.spawn(self._run_adapter(move, tasks), 'adapter')

    async def _run_adapter(self, move: AdapterMove, tasks: list[OrderTask]) -> None:
        came = False
        try:
            came = await self._run(move.replica, tasks)
        finally:
            self._adapter_retries.note_ended(move.key, came)

    def _note_load_ended(self, replica: Replica, task: OrderTask) -> None:
        if task.is_done(replica):
            self._lost_loads.record_loaded(replica.record.service, task.model, task.adapter)
        else:
            self._lost_loads.record_lost(replica, *task.item)

    async def _run(self, replica: Replica, tasks: list[OrderTask]) -> bool:
        try:
            done = await self._runner.run(replica, tasks)
        finally:
            self._sender.pending(replica).note_unload_ended(task.item for task in tasks)
        if not done:
            last = tasks[-1]
            log_change(
                'move_failed',
                replica=replica.replica_id,
                model=last.model,
                adapter=last.adapter,
            )
        return done

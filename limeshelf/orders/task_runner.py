"""Runs the tasks for a replica one after the other, until they are done or given up.

Keeps no state of its own; adds the expected loads to the replica's pending orders. Uses the order
sender for each order, and the retry rules of :mod:`limeshelf.orders.attempts`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.orders.attempts import (
    MAX_ATTEMPTS,
    MODEL_POLL_S,
    UNPOLLED_LOAD_SHARE,
    NextStep,
    next_step,
    poll_interval_s,
    report_lag_s,
    task_timeout_s,
)
from limeshelf.orders.order import OrderKind
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.orders.sender import OrderSender
    from limeshelf.orders.task import OrderTask
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica


class TaskRunner:
    """Runs the tasks of a move.

    :param on_load_ended: called with each load that was sent, when it has completed or was given
        up.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        sender: OrderSender,
        on_load_ended: Callable[[Replica, OrderTask], None] = lambda replica, task: None,
    ) -> None:
        self._directory = directory
        self._sender = sender
        self._on_load_ended = on_load_ended

    async def run(self, replica: Replica, tasks: list[OrderTask]) -> bool:
        """Run *tasks* one after the other; return whether all were done."""
        pending = self._sender.pending(replica)
        loads = [task for task in tasks if task.kind is OrderKind.LOAD]
        for task in loads:
            pending.expect_load_if_absent(task.item, boottime_s() + task.load_s)
        retired = {task.model for task in tasks if task not in loads and not task.adapter}
        replica.retiring |= retired
        try:
            async with pending.lock:
                for task in tasks:
                    if not await self._run_task(replica, task):
                        return False
            # Outside the lock: a replica can load several adapters at the same time, so other
            # tasks may send orders meanwhile.
            return await self._wait_for_adapters(replica, loads)
        finally:
            replica.retiring -= retired
            for task in loads:
                if pending.record_load_ended(task.item):
                    self._on_load_ended(replica, task)

    async def _wait_for_adapters(self, replica: Replica, loads: list[OrderTask]) -> bool:
        for task in loads:
            if task.adapter and not await self._wait_until_done(replica, task):
                return False
        return True

    async def _run_task(self, replica: Replica, task: OrderTask) -> bool:
        for _ in range(MAX_ATTEMPTS):
            step = next_step(task, await self._sender.send(replica, task))
            if step is NextStep.START_NEXT_TASK:
                return True
            if step is NextStep.AWAIT_EFFECT:
                return await self._wait_until_done(replica, task)
            if step is NextStep.GIVE_UP or not await self._wait_for_current_report(replica, task):
                return False
            if task.is_done(replica):
                return True
        return False

    async def _wait_for_current_report(self, replica: Replica, task: OrderTask) -> bool:
        """Poll for the replica's order number after an order with unknown effect.

        Reports lag, so each poll waits until the report includes that order.
        """
        deadline_s = boottime_s() + task_timeout_s(task)
        while boottime_s() < deadline_s and replica.takes_calls:
            await asyncio.sleep(report_lag_s(task))
            # Without no_recent_orders=True, a wrong order number would never be corrected
            # (tests/orders/test_sender.py::test_wrong_order_number_is_corrected).
            answered = await self._sender.poll(replica, no_recent_orders=True)
            if answered and replica.report and not replica.report.busy:
                return True
        return False

    async def _wait_until_done(self, replica: Replica, task: OrderTask) -> bool:
        deadline_s = boottime_s() + task_timeout_s(task)
        if task.loads_model:
            await self._wait_for_model_load(replica, task)
        while boottime_s() < deadline_s and replica.takes_calls:
            if task.is_done(replica):
                return True
            await asyncio.sleep(poll_interval_s(task))
            await self._sender.poll(replica)
        return task.is_done(replica)

    async def _wait_for_model_load(self, replica: Replica, task: OrderTask) -> None:
        poll_from_s = boottime_s() + UNPOLLED_LOAD_SHARE * task.load_s
        while boottime_s() < poll_from_s and replica.takes_calls and not task.is_done(replica):
            await self._directory.wait_for_change(MODEL_POLL_S)

"""Carries out tasks at a replica, one after the other, until they are done or given up.

Owns nothing; marks in the pending orders what is on its way meanwhile. Relies on
the order sender for each order, and on :mod:`limeshelf.orders.attempts` for what follows an
outcome and how long to wait.
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
    settle_interval_s,
    time_limit_s,
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
    """Sees the tasks of a move through.

    :param on_load_ended: called with each load that was ordered, when it has come or was given
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
        """Carry out *tasks* one after the other; return whether all were done."""
        pending = self._sender.pending(replica)
        loads = [task for task in tasks if task.kind is OrderKind.LOAD]
        for task in loads:
            pending.expect_if_new(task.item, boottime_s() + task.load_s)
        retired = {task.model for task in tasks if task not in loads and not task.adapter}
        replica.retiring |= retired
        try:
            async with pending.lock:
                for task in tasks:
                    if not await self._carry_out(replica, task):
                        return False
            # Adapters may be on their way together, so the next orders may go out
            # while these arrive.
            return await self._until_adapters_came(replica, loads)
        finally:
            replica.retiring -= retired
            for task in loads:
                if pending.note_ended(task.item):
                    self._on_load_ended(replica, task)

    async def _until_adapters_came(self, replica: Replica, loads: list[OrderTask]) -> bool:
        for task in loads:
            if task.adapter and not await self._until_done(replica, task):
                return False
        return True

    async def _carry_out(self, replica: Replica, task: OrderTask) -> bool:
        for _ in range(MAX_ATTEMPTS):
            step = next_step(task, await self._sender.send(replica, task))
            if step is NextStep.GO_ON:
                return True
            if step is NextStep.AWAIT_EFFECT:
                return await self._until_done(replica, task)
            if step is NextStep.GIVE_UP or not await self._settle(replica, task):
                return False
            if task.is_done(replica):
                return True
        return False

    async def _settle(self, replica: Replica, task: OrderTask) -> bool:
        """Learn how many orders the replica has taken, after one whose effect is open.

        Reports lag, so the number counts only when it stands still.
        """
        limit_s = boottime_s() + time_limit_s(task)
        while boottime_s() < limit_s and replica.takes_calls:
            await asyncio.sleep(settle_interval_s(task))
            # A number that was counted wrongly would otherwise stay wrong for good
            # (tests/orders/test_sender.py::test_wrong_number_is_settled).
            answered = await self._sender.poll(replica, settled=True)
            if answered and replica.report and not replica.report.busy:
                return True
        return False

    async def _until_done(self, replica: Replica, task: OrderTask) -> bool:
        limit_s = boottime_s() + time_limit_s(task)
        if task.loads_model:
            await self._wait_for_model(replica, task)
        while boottime_s() < limit_s and replica.takes_calls:
            if task.is_done(replica):
                return True
            await asyncio.sleep(poll_interval_s(task))
            await self._sender.poll(replica)
        return task.is_done(replica)

    async def _wait_for_model(self, replica: Replica, task: OrderTask) -> None:
        end_s = boottime_s() + UNPOLLED_LOAD_SHARE * task.load_s
        while boottime_s() < end_s and replica.takes_calls and not task.is_done(replica):
            await self._directory.wait_for_change(MODEL_POLL_S)

"""Single orders and polls to replicas: checks, sends and notes what came of them.

Owns one :class:`PendingOrders` for each replica. Relies on the directory for what
replicas hold, on the leadership for the term, and on :mod:`limeshelf.orders.capacity`
for whether a load fits. :mod:`limeshelf.orders.task_runner` repeats and waits.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.metrics.event_log import log_change
from limeshelf.orders.capacity import PossibleContents, RoomCheck, check_room
from limeshelf.orders.order import OrderKind, OrderOutcome, ReplicaOrder, ReplicaSilent
from limeshelf.orders.pending import PendingOrders
from limeshelf.orders.task import OrderTask, claim_task
from limeshelf.replicas.holdings import drop_adapter
from limeshelf.replicas.starts import ReplicaStart
from limeshelf.util.clock import boottime_s
from limeshelf.util.suspension import boot_timeout

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.routes import EngineSpec, ServingConfig
    from limeshelf.lease.leadership import Leadership
    from limeshelf.metrics.prometheus import GatewayMetrics
    from limeshelf.orders.order import OrderWire, ReplicaOrderAnswer
    from limeshelf.orders.task import Loadable
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica


#: Answers to a claim that show that the replica has noted its fence.
_CLAIMED = (OrderOutcome.TAKEN, OrderOutcome.HOLDS_ALREADY)


class OrderSender:
    """Sends orders to replicas under the term in force, and polls them.

    :param holder: names this process's machine in orders.
    :param config: returns the configuration in force, which says what an engine bears.
    :param on_load_in_doubt: called with each load on its way to a replica that is silent.
    """

    def __init__(
        self,
        wire: OrderWire,
        directory: ReplicaDirectory,
        leadership: Leadership,
        holder: str,
        metrics: GatewayMetrics,
        config: Callable[[], ServingConfig | None],
        on_load_in_doubt: Callable[[Replica, Loadable], None] = lambda replica, item: None,
    ) -> None:
        self._wire = wire
        self._directory = directory
        self._leadership = leadership
        self._holder = holder
        self._metrics = metrics
        self._config = config
        self._on_load_in_doubt = on_load_in_doubt
        self._pending: dict[ReplicaStart, PendingOrders] = {}

    def pending(self, replica: Replica) -> PendingOrders:
        """Return what is under way at this start of a replica."""
        found = self._pending.get(replica.start)
        if found is None:
            earlier = ReplicaStart(replica.replica_id, replica.start.number - 1)
            found = PendingOrders(self._pending.pop(earlier, None))
            self._pending[replica.start] = found
        return found

    async def poll(self, replica: Replica, settled: bool = False) -> bool:
        """Ask a replica for its report; return whether it answered.

        One that asked this gateway for a pause is not asked.

        :param settled: nothing was ordered there for longer than reports lag.
        """
        if replica.backpressure.is_paused:
            # Nothing shows that it is lost, and nothing is ordered there without a new report.
            return False
        pending = self.pending(replica)
        settled = settled or pending.is_settled
        asked_s = boottime_s()
        try:
            report = await self._wire.report(replica.record.address, replica.replica_id)
        except ReplicaSilent:
            # No line for each poll: the caller sees it, and the replica counts as lost
            # after some.
            pending.note_missed_poll()
            for item in pending.ordered_loads():
                self._on_load_in_doubt(replica, item)
            return False
        counts = self._directory.apply_report(
            replica.replica_id, report, no_recent_orders=settled, asked_s=asked_s
        )
        pending.note_report(report, counts)
        return True

    async def claim(self, replica: Replica, engine: EngineSpec) -> None:
        """Make a replica note the term's fence, by an order that changes nothing.

        From then on the replica refuses what a predecessor ordered, where it compares
        fences (tests/orders/test_sender.py::test_claim_shuts_a_predecessor_out). An answer
        that it is busy, or has taken another number of orders, claims nothing
        (tests/orders/test_sender.py::test_claim_that_is_not_taken_claims_nothing).
        """
        term = self._leadership.term
        if term is None or not await self.poll(replica):
            return
        task = claim_task(replica, engine)
        order = self._order_for(replica, task, term.fence)
        try:
            answer = await self._send_in_time(replica, order)
        except ReplicaSilent:
            # Not claimed, so nothing is planned for it; the next poll claims it again.
            return
        log_change(
            'claim',
            replica=replica.replica_id,
            model=order.model,
            adapter=order.adapter,
            expected=order.expected_number,
            fence=order.fence,
            status=answer.status,
            outcome=answer.outcome,
        )
        if answer.outcome is OrderOutcome.FENCED_OFF:
            self._leadership.end('fenced_off')
        elif answer.outcome in _CLAIMED:
            self.pending(replica).note_claimed(term.fence)

    async def _send_in_time(self, replica: Replica, order: ReplicaOrder) -> ReplicaOrderAnswer:
        """Send an order that leaves while this process may order, or not at all.

        :raises ReplicaSilent: no answer came in that time; it may have been taken.
        """
        left_s = self._leadership.order_time_left_s()
        if left_s <= 0:
            raise ReplicaSilent(replica.replica_id)
        try:
            async with boot_timeout(left_s) if math.isfinite(left_s) else asyncio.timeout(None):
                return await self._wire.order(replica.record.address, replica.replica_id, order)
        except TimeoutError:
            raise ReplicaSilent(replica.replica_id) from None

    async def _obstacle(self, replica: Replica, task: OrderTask) -> OrderOutcome | None:
        """Return why an order cannot go out now, or ``None`` if it can."""
        known = replica.order_number is not None and self.pending(replica).is_fresh
        if not known and not await self.poll(replica):
            return OrderOutcome.BUSY_OR_STALE
        if replica.report is not None and replica.report.busy:
            return OrderOutcome.BUSY_OR_STALE
        if task.kind is OrderKind.LOAD and not self._has_room(replica, task):
            return OrderOutcome.REJECTED
        return None

    def _has_room(self, replica: Replica, task: OrderTask) -> bool:
        config = self._config()
        service = config.services.get(replica.record.service) if config else None
        engine = service.engine if service else None
        contents = PossibleContents.of_replica(replica, self.pending(replica))
        room = check_room(task.item, contents, engine)
        if room.fits:
            return True
        inputs = attrs.asdict(room) if isinstance(room, RoomCheck) else {'model_known': False}
        log_change(
            'order_withheld',
            replica=replica.replica_id,
            model=task.model,
            adapter=task.adapter,
            cause='no_room',
            **inputs,
        )
        return False

    def _order_for(self, replica: Replica, task: OrderTask, fence: int) -> ReplicaOrder:
        expected = replica.order_number or 0
        return ReplicaOrder(task.kind, task.model, task.adapter, expected, self._holder, fence)

    async def send(self, replica: Replica, task: OrderTask) -> OrderOutcome:
        """Send one order for *task*, if nothing stands against it; return how it ended.

        Without an answer it ends as ``BUSY_OR_STALE``: whether it took effect is open.
        The caller holds the lock of the replica's pending orders.
        """
        obstacle = await self._obstacle(replica, task)
        if obstacle is not None:
            return obstacle
        term = self._leadership.term
        may_order = self._leadership.order_time_left_s() > 0
        if term is None or not may_order or not replica.takes_calls:
            return OrderOutcome.FENCED_OFF
        order = self._order_for(replica, task, term.fence)
        pending = self.pending(replica)
        pending.note_ordered()
        if task.kind is OrderKind.LOAD:
            pending.note_sent(task.item)
        status = 0
        try:
            answer = await self._send_in_time(replica, order)
            outcome, status = answer.outcome, answer.status
        except ReplicaSilent:
            outcome = OrderOutcome.BUSY_OR_STALE
            if task.kind is OrderKind.LOAD:
                pending.note_unanswered(task.item, order.expected_number)
        self._log_order(replica, order, status, outcome)
        self._note_outcome(replica, task, order.expected_number, outcome)
        return outcome

    def _log_order(
        self, replica: Replica, order: ReplicaOrder, status: int, outcome: OrderOutcome
    ) -> None:
        self._metrics.observe_order(outcome)
        log_change(
            'order',
            replica=replica.replica_id,
            kind=order.kind,
            model=order.model,
            adapter=order.adapter,
            expected=order.expected_number,
            fence=order.fence,
            status=status,
            outcome=outcome,
        )

    def _note_outcome(
        self, replica: Replica, task: OrderTask, expected: int, outcome: OrderOutcome
    ) -> None:
        at_once = _unloaded_at_once(replica, task, outcome)
        if outcome is OrderOutcome.TAKEN or at_once:
            replica.order_number = max(replica.order_number or 0, expected + 1)
        if at_once:
            drop_adapter(replica, task.model, task.adapter)
        if outcome is OrderOutcome.FENCED_OFF:
            self._leadership.end('fenced_off')


def _unloaded_at_once(replica: Replica, task: OrderTask, outcome: OrderOutcome) -> bool:
    """Return whether an idle adapter went without delay, which counts as an order.

    The same answer to the unload of what is not there counts as none.
    """
    if task.kind is not OrderKind.UNLOAD or not task.adapter:
        return False
    held = task.adapter in replica.holdings.get(task.model, frozenset())
    return held and outcome is OrderOutcome.HOLDS_ALREADY

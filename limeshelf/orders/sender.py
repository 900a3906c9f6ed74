"""Sends single orders and polls to replicas and records their outcome.

Owns one :class:`PendingOrders` per start of a replica. Before it is sent, each order is checked
against the term (:class:`~limeshelf.lease.leadership.Leadership`), the replica's last report and
its memory (:mod:`limeshelf.orders.capacity`). :mod:`limeshelf.orders.task_runner` repeats orders
and waits for their effect.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.metrics.event_log import log_change
from limeshelf.orders.capacity import PossibleContents, RoomCheck, check_room
from limeshelf.orders.order import OrderKind, OrderOutcome, ReplicaOrder, ReplicaUnresponsive
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
    from limeshelf.orders.order import OrderTransport, ReplicaOrderAnswer
    from limeshelf.orders.task import Loadable
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica


#: Outcomes of a claim after which the replica has stored its fence.
_CLAIM_ACCEPTED = (OrderOutcome.TAKEN, OrderOutcome.HOLDS_ALREADY)


class OrderSender:
    """Sends orders to replicas under the current term, and polls them.

    :param holder: name of this instance in orders.
    :param config: returns the current configuration, which gives the limits of an engine.
    :param on_load_in_doubt: called with each load that was sent to a replica that leaves a poll
        unanswered.
    """

    def __init__(
        self,
        transport: OrderTransport,
        directory: ReplicaDirectory,
        leadership: Leadership,
        holder: str,
        metrics: GatewayMetrics,
        config: Callable[[], ServingConfig | None],
        on_load_in_doubt: Callable[[Replica, Loadable], None] = lambda replica, item: None,
    ) -> None:
        self._transport = transport
        self._directory = directory
        self._leadership = leadership
        self._holder = holder
        self._metrics = metrics
        self._config = config
        self._on_load_in_doubt = on_load_in_doubt
        self._pending: dict[ReplicaStart, PendingOrders] = {}

    def pending(self, replica: Replica) -> PendingOrders:
        """Return the pending orders of the current start of a replica."""
        found = self._pending.get(replica.start)
        if found is None:
            earlier = ReplicaStart(replica.replica_id, replica.start.number - 1)
            found = PendingOrders(self._pending.pop(earlier, None))
            self._pending[replica.start] = found
        return found

    async def poll(self, replica: Replica, no_recent_orders: bool = False) -> bool:
        """Fetch a replica's report; return whether it answered.

        A replica that has requested a pause is not polled.

        :param no_recent_orders: whether the caller knows that the last order is older than the
            delay of reports.
        """
        if replica.backpressure.is_paused:
            # Not a missed poll: a pause is no sign of loss, and orders need a new report anyway.
            return False
        pending = self.pending(replica)
        no_recent_orders = no_recent_orders or pending.has_no_recent_orders
        requested_s = boottime_s()
        try:
            report = await self._transport.report(replica.record.address, replica.replica_id)
        except ReplicaUnresponsive:
            # Not logged for each poll: the caller handles it, and the replica counts as lost after
            # several.
            pending.record_missed_poll()
            for item in pending.sent_loads():
                self._on_load_in_doubt(replica, item)
            return False
        is_current = self._directory.apply_report(
            replica.replica_id, report, no_recent_orders=no_recent_orders, requested_s=requested_s
        )
        pending.record_report(report, is_current)
        return True

    async def claim(self, replica: Replica, engine: EngineSpec) -> None:
        """Make a replica store the term's fence, by an order that changes nothing.

        From then on a replica that compares fences refuses the orders of preceding leaders
        (tests/orders/test_sender.py::test_claim_fences_off_a_preceding_leader). If the replica
        answers that it is busy or that the order number differs, it is not claimed
        (tests/orders/test_sender.py::test_claim_that_is_not_accepted_has_no_effect).
        """
        term = self._leadership.term
        if term is None or not await self.poll(replica):
            return
        task = claim_task(replica, engine)
        order = self._order_for(replica, task, term.fence)
        try:
            answer = await self._send_within_lease(replica, order)
        except ReplicaUnresponsive:
            # Not claimed, so no load is planned for it; the claim is repeated at the next poll.
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
            self._leadership.end_term('fenced_off')
        elif answer.outcome in _CLAIM_ACCEPTED:
            self.pending(replica).record_claim(term.fence)

    async def _send_within_lease(
        self, replica: Replica, order: ReplicaOrder
    ) -> ReplicaOrderAnswer:
        """Send an order and wait for its answer, at most while this process may send orders.

        :raises ReplicaUnresponsive: no answer came in that time; the order may have been accepted.
        """
        left_s = self._leadership.order_time_left_s()
        if left_s <= 0:
            raise ReplicaUnresponsive(replica.replica_id)
        try:
            with self._leadership.orders.sending():
                async with (
                    boot_timeout(left_s) if math.isfinite(left_s) else asyncio.timeout(None)
                ):
                    return await self._transport.order(
                        replica.record.address, replica.replica_id, order
                    )
        except TimeoutError:
            raise ReplicaUnresponsive(replica.replica_id) from None

    async def _reason_to_withhold(self, replica: Replica, task: OrderTask) -> OrderOutcome | None:
        """Return the outcome of an order that must not be sent now, or ``None`` if it may be."""
        is_known = replica.order_number is not None and self.pending(replica).is_fresh
        if not is_known and not await self.poll(replica):
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
        """Send one order for *task* unless a check forbids it; return its outcome.

        Without an answer the outcome is ``BUSY_OR_STALE``: the effect of the order is unknown.
        The caller must hold the lock of the replica's pending orders.
        """
        withheld = await self._reason_to_withhold(replica, task)
        if withheld is not None:
            return withheld
        term = self._leadership.term
        may_order = self._leadership.order_time_left_s() > 0
        if term is None or not may_order or not replica.takes_calls:
            return OrderOutcome.FENCED_OFF
        order = self._order_for(replica, task, term.fence)
        pending = self.pending(replica)
        pending.record_order_sent()
        if task.kind is OrderKind.LOAD:
            pending.record_load_sent(task.item)
        status = 0
        try:
            answer = await self._send_within_lease(replica, order)
            outcome, status = answer.outcome, answer.status
        except ReplicaUnresponsive:
            outcome = OrderOutcome.BUSY_OR_STALE
            if task.kind is OrderKind.LOAD:
                pending.record_load_unanswered(task.item, order.expected_number)
        self._log_order(replica, order, status, outcome)
        self._apply_outcome(replica, task, order.expected_number, outcome)
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

    def _apply_outcome(
        self, replica: Replica, task: OrderTask, expected: int, outcome: OrderOutcome
    ) -> None:
        unloaded = _unloaded_at_once(replica, task, outcome)
        if outcome is OrderOutcome.TAKEN or unloaded:
            replica.order_number = max(replica.order_number or 0, expected + 1)
        if unloaded:
            drop_adapter(replica, task.model, task.adapter)
        if outcome is OrderOutcome.FENCED_OFF:
            self._leadership.end_term('fenced_off')


def _unloaded_at_once(replica: Replica, task: OrderTask, outcome: OrderOutcome) -> bool:
    """Return whether an idle adapter was unloaded at once, which the replica counts as an order.

    The unload of an adapter that it does not hold gets the same answer, but is not counted.
    """
    if task.kind is not OrderKind.UNLOAD or not task.adapter:
        return False
    held = task.adapter in replica.holdings.get(task.model, frozenset())
    return held and outcome is OrderOutcome.HOLDS_ALREADY

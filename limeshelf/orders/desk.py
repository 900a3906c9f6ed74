"""The leader's orders: one replica at a time has one order at a time under way."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.metrics.event_log import log_change
from limeshelf.orders.order import Order, OrderKind, OrderOutcome, ReplicaSilent
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.routes import EngineSpec
    from limeshelf.lease.leadership import Leadership
    from limeshelf.metrics.prometheus import GatewayMetrics
    from limeshelf.orders.order import OrderWire
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Looks at a replica while something is on its way there.
ADAPTER_LOOK_S = 0.03
MODEL_LOOK_S = 0.25
#: Reports lag by about this much, so an order's trace shows after it.
ADAPTER_SETTLE_S = 0.16
#: An adapter that has not come after this time is given up.
ADAPTER_LIMIT_S = 4.0
#: An unload waits for the calls that run.
UNLOAD_LIMIT_S = 20.0
#: A look this long after the claim shows what came before it; reports lag.
CLAIM_SETTLE_S = 0.2
#: A look counts as fresh for this long.
FRESH_S = 1.5
#: Times a load may take of what the configuration says before it is given up.
LOAD_LIMIT_FACTOR = 4.0
#: Tries of one order that other orders got in front of.
MAX_TRIES = 4


@attrs.frozen
class Task:
    """Something to load or unload at a replica.

    :param load_s: how long a load likely takes.
    """

    kind: OrderKind
    model: str
    adapter: str = ''
    load_s: float = 0.0


@attrs.define
class Lane:
    """The orders to one replica, one after the other.

    :ivar coming: what is on its way there, with the time when it is likely done.
    :ivar going: adapters that are about to be unloaded.
    :ivar doubts: loads that got no answer, with the number that they expected;
        each may come late until the replica has taken another order.
    :ivar claimed_fence: the fence that was shown to the replica; 0 after it was
        out of reach, when orders that a cut held up may arrive.
    :ivar looked_s: when the replica last answered this process's own look.
    :ivar silent: looks in a row that were not answered.
    :ivar sent: loads whose order went out and that may be there before they show.
    """

    coming: dict[tuple[str, str], float] = attrs.field(factory=dict)
    sent: set[tuple[str, str]] = attrs.field(factory=set)
    doubts: dict[tuple[str, str], int] = attrs.field(factory=dict)
    silent: int = 0
    looked_s: float = 0.0
    claimed_fence: int = 0
    claimed_s: float = 0.0
    going: set[tuple[str, str]] = attrs.field(factory=set)
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    @property
    def is_fresh(self) -> bool:
        """Return whether this process itself saw lately what the replica does.

        What a predecessor told may lack a load that is still under way.
        """
        settled_s = self.claimed_s + CLAIM_SETTLE_S
        return boottime_s() - self.looked_s < FRESH_S and self.looked_s > settled_s

    @property
    def busy_with_model(self) -> bool:
        """Return whether a whole model is on its way."""
        return any(not adapter for _, adapter in self.coming)


def harmless_task(replica: Replica, engine: EngineSpec) -> Task:
    """Return the unload of something that exists and that a replica does not hold.

    A replica cannot take an order about what does not exist, so whether it notes
    the fence of one is open.
    """
    loading = set(replica.report.loading) if replica.report else set()
    for model, spec in engine.models.items():
        held = replica.holdings.get(model, frozenset())
        for adapter in sorted(spec.adapters - held):
            if (model, adapter) not in loading:
                return Task(OrderKind.UNLOAD, model, adapter)
    absent = [model for model in engine.models if model not in replica.holdings]
    return Task(OrderKind.UNLOAD, next(iter(absent), next(iter(engine.models))))


class OrderDesk:
    """Sends orders under the term in force and watches until they are done."""

    def __init__(
        self,
        wire: OrderWire,
        directory: ReplicaDirectory,
        leadership: Leadership,
        holder: str,
        figures: GatewayMetrics,
    ) -> None:
        self._wire = wire
        self._directory = directory
        self._leadership = leadership
        self._holder = holder
        self._figures = figures
        self._lanes: dict[str, Lane] = {}
        #: Whether a replica has room for a load beside all that may be there.
        self.fits: Callable[[Replica, Task], bool] = lambda replica, task: True

    def lane(self, replica: Replica) -> Lane:
        """Return the orders to a replica."""
        return self._lanes.setdefault(replica.replica_id, Lane())

    async def look(self, replica: Replica, settled: bool = False) -> bool:
        """Ask a replica for its report; return whether it answered.

        :param settled: nothing was ordered there for longer than reports lag.
        """
        try:
            report = await self._wire.report(replica.record.address, replica.replica_id)
        except ReplicaSilent:
            lane = self.lane(replica)
            lane.silent += 1
            lane.claimed_fence = 0
            return False
        lane = self.lane(replica)
        lane.silent = 0
        lane.looked_s = boottime_s()
        if not report.busy:
            lane.doubts = {
                load: expected
                for load, expected in lane.doubts.items()
                if expected >= report.order_number
            }
        self._directory.take_report(replica.replica_id, report, settled)
        return True

    async def claim(self, replica: Replica, engine: EngineSpec) -> None:
        """Show the term's fence to a replica by an order that changes nothing.

        From then on the replica refuses what a predecessor ordered
        (tests/orders/test_desk.py::test_claim_shuts_a_predecessor_out).
        """
        term = self._leadership.term
        if term is None or not await self.look(replica):
            return
        task = harmless_task(replica, engine)
        expected = replica.order_number or 0
        order = Order(task.kind, task.model, task.adapter, expected, self._holder, term.fence)
        try:
            answer = await self._wire.order(replica.record.address, replica.replica_id, order)
        except ReplicaSilent:
            return
        if answer.outcome is OrderOutcome.FENCED_OFF:
            self._leadership.end('fenced_off')
            return
        lane = self.lane(replica)
        lane.claimed_fence = term.fence
        lane.claimed_s = boottime_s()

    async def run(self, replica: Replica, tasks: list[Task]) -> bool:
        """Carry out *tasks* one after the other; return whether all were done."""
        lane = self.lane(replica)
        loads = [task for task in tasks if task.kind is OrderKind.LOAD]
        for task in loads:
            lane.coming.setdefault((task.model, task.adapter), boottime_s() + task.load_s)
        retired = {task.model for task in tasks if task not in loads and not task.adapter}
        replica.retiring |= retired
        try:
            async with lane.lock:
                for task in tasks:
                    if not await self._carry_out(replica, task):
                        return False
            # Adapters may be on their way together, so the lane is free for the
            # next while these arrive.
            return await self._until_adapters_came(replica, loads)
        finally:
            replica.retiring -= retired
            for task in loads:
                lane.coming.pop((task.model, task.adapter), None)
                lane.sent.discard((task.model, task.adapter))

    async def _until_adapters_came(self, replica: Replica, loads: list[Task]) -> bool:
        for task in loads:
            if task.adapter and not await self._until_done(replica, task):
                return False
        return True

    async def _carry_out(self, replica: Replica, task: Task) -> bool:
        for _ in range(MAX_TRIES):
            outcome = await self._send(replica, task)
            if outcome is OrderOutcome.HOLDS_ALREADY and task.adapter:
                return True
            if outcome in (OrderOutcome.TAKEN, OrderOutcome.HOLDS_ALREADY):
                if task.adapter and task.kind is OrderKind.LOAD:
                    return True
                return await self._until_done(replica, task)
            if outcome in (OrderOutcome.FENCED_OFF, OrderOutcome.GONE, OrderOutcome.REJECTED):
                return False
            if not await self._settle(replica, task):
                return False
            if self._is_done(replica, task):
                return True
        return False

    async def _settle(self, replica: Replica, task: Task) -> bool:
        """Learn how many orders the replica has taken, after one that is in doubt.

        Reports lag, so the number counts only when it stands still.
        """
        limit_s = boottime_s() + self._limit_s(task)
        while boottime_s() < limit_s and replica.takes_calls:
            await asyncio.sleep(ADAPTER_SETTLE_S if task.adapter else MODEL_LOOK_S)
            # A number that was counted wrongly would otherwise stay wrong for good
            # (tests/orders/test_desk.py::test_wrong_number_is_settled).
            looked = await self.look(replica, settled=True)
            if looked and replica.report and not replica.report.busy:
                return True
        return False

    async def _obstacle(self, replica: Replica, task: Task) -> OrderOutcome | None:
        """Return why an order cannot go out now, or ``None`` if it can."""
        known = replica.order_number is not None and self.lane(replica).is_fresh
        if not known and not await self.look(replica):
            return OrderOutcome.BUSY_OR_STALE
        if replica.report is not None and replica.report.busy:
            return OrderOutcome.BUSY_OR_STALE
        if task.kind is OrderKind.LOAD and not self.fits(replica, task):
            log_change(
                'order_withheld', replica=replica.replica_id, model=task.model, cause='no_room'
            )
            return OrderOutcome.REJECTED
        return None

    async def _send(self, replica: Replica, task: Task) -> OrderOutcome:
        obstacle = await self._obstacle(replica, task)
        if obstacle is not None:
            return obstacle
        term = self._leadership.term
        if term is None or not replica.takes_calls:
            return OrderOutcome.FENCED_OFF
        expected = replica.order_number or 0
        order = Order(task.kind, task.model, task.adapter, expected, self._holder, term.fence)
        lane = self.lane(replica)
        if task.kind is OrderKind.LOAD:
            lane.sent.add((task.model, task.adapter))
        status = 0
        try:
            answer = await self._wire.order(replica.record.address, replica.replica_id, order)
            outcome, status = answer.outcome, answer.status
        except ReplicaSilent:
            outcome = OrderOutcome.BUSY_OR_STALE
            if task.kind is OrderKind.LOAD:
                lane.doubts[task.model, task.adapter] = expected
        self._log_order(replica, order, status, outcome)
        self._note_outcome(replica, task, expected, outcome)
        return outcome

    def _log_order(
        self, replica: Replica, order: Order, status: int, outcome: OrderOutcome
    ) -> None:
        self._figures.observe_order(outcome)
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
        self, replica: Replica, task: Task, expected: int, outcome: OrderOutcome
    ) -> None:
        at_once = self._unloaded_at_once(replica, task, outcome)
        if outcome is OrderOutcome.TAKEN or at_once:
            replica.order_number = max(replica.order_number or 0, expected + 1)
        if at_once:
            self._directory.drop_adapter(replica, task.model, task.adapter)
        if outcome is OrderOutcome.FENCED_OFF:
            self._leadership.end('fenced_off')

    def _unloaded_at_once(self, replica: Replica, task: Task, outcome: OrderOutcome) -> bool:
        """Return whether an idle adapter went without delay, which counts as an order.

        The same answer to the unload of what is not there counts as none.
        """
        if task.kind is not OrderKind.UNLOAD or not task.adapter:
            return False
        there = task.adapter in replica.holdings.get(task.model, frozenset())
        return there and outcome is OrderOutcome.HOLDS_ALREADY

    def _is_done(self, replica: Replica, task: Task) -> bool:
        # Not holds(): what is about to go takes no calls but is still there
        # (tests/orders/test_desk.py::test_load_waits_for_late_unload).
        adapters = replica.holdings.get(task.model)
        there = adapters is not None and (not task.adapter or task.adapter in adapters)
        return there if task.kind is OrderKind.LOAD else not there

    async def _until_done(self, replica: Replica, task: Task) -> bool:
        whole = not task.adapter
        look_s = MODEL_LOOK_S if whole else ADAPTER_LOOK_S
        limit_s = boottime_s() + self._limit_s(task)
        if whole and task.kind is OrderKind.LOAD:
            # Looks before the load can be done would only cost.
            await self._wait_for_load(replica, task)
        while boottime_s() < limit_s and replica.takes_calls:
            if self._is_done(replica, task):
                return True
            await asyncio.sleep(look_s)
            await self.look(replica)
        return self._is_done(replica, task)

    def _limit_s(self, task: Task) -> float:
        if task.kind is OrderKind.UNLOAD and not task.adapter:
            return UNLOAD_LIMIT_S
        return max(ADAPTER_LIMIT_S, task.load_s * LOAD_LIMIT_FACTOR)

    async def _wait_for_load(self, replica: Replica, task: Task) -> None:
        end_s = boottime_s() + 0.8 * task.load_s
        while boottime_s() < end_s and replica.takes_calls and not self._is_done(replica, task):
            await self._directory.wait_for_change(MODEL_LOOK_S)

"""Pending loads and unloads at one replica, and the state of its polls and its claim.

The only owner of this state: which loads are planned, sent or unconfirmed, which items are about
to be unloaded, whether the replica answers polls, and which fence it has accepted. Callers report
events through the ``record_`` and ``expect`` methods. All times are of the boot clock.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from limeshelf.orders.task import Loadable
    from limeshelf.replicas.record import ReplicaReport

#: A poll answered this long after a claim includes the effect of every order before the claim.
#: Reports are 100 to 200 ms old.
CLAIM_REPORT_LAG_S = 0.35
#: Once this process has sent the replica no order for this long, a report is trusted even if its
#: order number is lower than expected: an order counted here did not arrive. Reports are 100 to
#: 200 ms old.
RECENT_ORDER_S = 0.8
#: An answered poll of this process counts as fresh for this long. Orders based on state received
#: from the preceding leader overcommitted memory.
POLL_FRESH_S = 1.5
#: An order without an answer is carried out at most this much later; delays of 2 to 12 s occur on
#: the users' platform.
MAX_ORDER_DELAY_S = 15.0
#: A replica counts as lost after this many consecutive unanswered polls.
LOST_AFTER_POLLS = 2


class PendingOrders:
    """Orders to one start of a replica whose effect may not have been reported yet.

    :param previous: orders to the preceding start of the replica. An order names the replica by
        its id, so the new start may still carry out an unanswered one.
    """

    def __init__(self, previous: PendingOrders | None = None) -> None:
        #: Held while a task sends orders: a replica carries out one order at a time.
        self.lock = asyncio.Lock()
        self._ready_at_s: dict[Loadable, float] = {}
        self._unloading: set[Loadable] = set()
        self._sent: set[Loadable] = set()
        #: Load orders without an answer, with the order number that each expected.
        self._unanswered: dict[Loadable, int] = {}
        self._missed_polls = 0
        self._polled_s = 0.0
        #: When a poll last included the effect of all orders sent before it.
        self._confirmed_s = 0.0
        self._ordered_s = 0.0
        self._claimed_fence = 0
        self._claimed_s = 0.0
        self._previous = previous
        self._created_s = boottime_s()

    # Planned loads and unloads.

    def expect_load(self, item: Loadable, ready_s: float) -> None:
        """Add *item* to the expected loads; *ready_s* is when it is expected to be complete."""
        self._ready_at_s[item] = ready_s

    def expect_load_if_absent(self, item: Loadable, ready_s: float) -> None:
        """Add *item* to the expected loads, unless it is among them already."""
        self._ready_at_s.setdefault(item, ready_s)

    def sent_loads(self) -> set[Loadable]:
        """Return the loads that were sent and have neither completed nor been given up."""
        return set(self._sent)

    def record_load_ended(self, item: Loadable) -> bool:
        """Remove a load that completed or was given up; return whether it was sent."""
        was_sent = item in self._sent
        self._ready_at_s.pop(item, None)
        self._sent.discard(item)
        return was_sent

    def mark_unloading(self, item: Loadable) -> None:
        """Mark *item* as about to be unloaded."""
        self._unloading.add(item)

    def unmark_unloading(self, items: Iterable[Loadable]) -> None:
        """Remove the marks of unloads that completed or were given up."""
        self._unloading.difference_update(items)

    def is_load_expected(self, item: Loadable) -> bool:
        """Return whether the load of *item* is expected."""
        return item in self._ready_at_s

    def expected_ready_s(self) -> Mapping[Loadable, float]:
        """Return the expected loads with the time when each is expected to be complete."""
        return self._ready_at_s

    def expected_models(self) -> set[str]:
        """Return the models whose load is expected, without adapter loads."""
        return {item.model for item in self._ready_at_s if not item.adapter}

    def is_unloading(self, item: Loadable) -> bool:
        """Return whether *item* is about to be unloaded."""
        return item in self._unloading

    # Loads that may occupy memory before a report lists them.

    def record_load_sent(self, item: Loadable) -> None:
        """Record that an order to load *item* is being sent."""
        self._sent.add(item)

    def record_load_unanswered(self, item: Loadable, expected_number: int) -> None:
        """Record that an order to load *item* got no answer and may take effect late.

        :param expected_number: order number that the order expected.
        """
        self._unanswered[item] = expected_number

    def unconfirmed_loads(self) -> frozenset[Loadable]:
        """Return the loads that may occupy memory, now or later, before a report lists them."""
        loads = frozenset(self._sent) | frozenset(self._unanswered)
        if self._previous is None:
            return loads
        if boottime_s() - self._created_s > MAX_ORDER_DELAY_S:
            self._previous = None
            return loads
        return loads | self._previous.unconfirmed_loads()

    def record_order_sent(self) -> None:
        """Record that an order is being sent."""
        self._ordered_s = boottime_s()

    @property
    def has_no_recent_orders(self) -> bool:
        """Return whether the last order is older than the delay of reports."""
        return boottime_s() - self._ordered_s > RECENT_ORDER_S

    # Polls, and the fence that the replica has accepted.

    def record_report(self, report: ReplicaReport, is_current: bool = True) -> None:
        """Record the answer to a poll of this process.

        Once the replica has accepted a later order, an unanswered load can no longer take effect,
        because it expects a lower order number.

        :param is_current: whether the report includes the last known order. Otherwise it only
            shows that the replica is reachable
            (tests/orders/test_sender.py::test_late_report_confirms_nothing).
        """
        self._missed_polls = 0
        self._polled_s = boottime_s()
        if not is_current:
            return
        self._confirmed_s = self._polled_s
        if not report.busy:
            self._unanswered = {
                item: expected
                for item, expected in self._unanswered.items()
                if expected >= report.order_number
            }

    def record_missed_poll(self) -> None:
        """Record a poll without an answer, and drop the claim.

        Orders delayed by a network partition may arrive when it heals, so the replica must be
        claimed again (tests/orders/test_sender.py::test_replica_is_reachable_again).
        """
        self._missed_polls += 1
        self._claimed_fence = 0

    def record_claim(self, fence: int) -> None:
        """Record that the replica has accepted *fence*."""
        self._claimed_fence = fence
        self._claimed_s = boottime_s()

    def is_claimed_under(self, fence: int) -> bool:
        """Return whether the replica has accepted *fence* and answered every poll since."""
        return self._claimed_fence == fence

    @property
    def missed_polls(self) -> int:
        """Return the number of consecutive unanswered polls."""
        return self._missed_polls

    @property
    def is_lost(self) -> bool:
        """Return whether enough consecutive polls were unanswered to count the replica as lost."""
        return self._missed_polls >= LOST_AFTER_POLLS

    @property
    def is_fresh(self) -> bool:
        """Return whether a recent poll of this process shows the replica's state.

        The state received from the preceding leader may lack a load in progress. Polls later than
        :data:`CLAIM_REPORT_LAG_S` after the claim include all of them; an outdated report can then
        lack only orders of this process.
        """
        trusted_from_s = self._claimed_s + CLAIM_REPORT_LAG_S
        return boottime_s() - self._polled_s < POLL_FRESH_S and self._confirmed_s > trusted_from_s

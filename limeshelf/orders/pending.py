"""What is under way at one replica: the only owner of that state.

Holds which loads are planned, sent or unconfirmed, which adapters are about to be
unloaded, whether the replica answers polls and which fence it was shown. Others
report what happened by the ``note_`` methods and by ``expect``.
Relies on the boot clock only.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from limeshelf.orders.task import Loadable
    from limeshelf.replicas.record import ReplicaReport

#: A poll answered this long after the replica was claimed shows what came before the claim.
#: Reports are 100 to 200 ms old.
REPORT_SETTLE_S = 0.35
#: Reports count whatever number of orders they name once this process has sent none there for
#: this long: an order that was counted here did not arrive. Reports are 100 to 200 ms old.
ORDERS_SETTLE_S = 0.8
#: For this long a poll of our own counts as fresh. Orders by what a predecessor sent
#: overcommitted memory.
FRESH_S = 1.5
#: An order that got no answer is carried out at most this much later, in seconds: 2 to 12 s are
#: seen on the users' platform.
LATE_ORDER_S = 15.0
#: A replica that left this many polls in a row unanswered counts as lost.
LOST_AFTER_POLLS = 2


class PendingOrders:
    """Orders to one start of a replica that may not have shown their effect yet.

    :param earlier: those to the start before: an order names the replica by its id, so one
        that was not answered may still be carried out by the new start.
    """

    def __init__(self, earlier: PendingOrders | None = None) -> None:
        #: Held while orders go out: one replica has one order under way at a time.
        self.lock = asyncio.Lock()
        self._ready_at_s: dict[Loadable, float] = {}
        self._unloading: set[Loadable] = set()
        self._sent: set[Loadable] = set()
        #: Loads without an answer, with the number of orders that each expected.
        self._unanswered: dict[Loadable, int] = {}
        self._missed_polls = 0
        self._polled_s = 0.0
        #: When a poll last showed all that had been ordered by then.
        self._confirmed_s = 0.0
        self._ordered_s = 0.0
        self._claimed_fence = 0
        self._claimed_s = 0.0
        self._earlier = earlier
        self._began_s = boottime_s()

    # Planned loads and unloads.

    def expect(self, item: Loadable, ready_s: float) -> None:
        """Count *item* as on its way; it is likely there at *ready_s* on the boot clock."""
        self._ready_at_s[item] = ready_s

    def expect_if_new(self, item: Loadable, ready_s: float) -> None:
        """Count *item* as on its way, unless a time for it is known already."""
        self._ready_at_s.setdefault(item, ready_s)

    def ordered_loads(self) -> set[Loadable]:
        """Return the loads that were ordered and have neither come nor been given up."""
        return set(self._sent)

    def note_ended(self, item: Loadable) -> bool:
        """Note that a load has come or was given up; return whether it was ordered."""
        was_sent = item in self._sent
        self._ready_at_s.pop(item, None)
        self._sent.discard(item)
        return was_sent

    def note_unloading(self, item: Loadable) -> None:
        """Note that *item* is about to be unloaded."""
        self._unloading.add(item)

    def note_unload_ended(self, items: Iterable[Loadable]) -> None:
        """Note that unloads are done or were given up."""
        self._unloading.difference_update(items)

    def expects(self, item: Loadable) -> bool:
        """Return whether *item* is on its way."""
        return item in self._ready_at_s

    def ready_times_s(self) -> Mapping[Loadable, float]:
        """Return what is on its way, with the boot clock's time when it is likely there."""
        return self._ready_at_s

    def models_expected(self) -> set[str]:
        """Return the whole models that are on their way."""
        return {item.model for item in self._ready_at_s if not item.adapter}

    def is_unloading(self, item: Loadable) -> bool:
        """Return whether *item* is about to be unloaded."""
        return item in self._unloading

    # Loads that may take memory before a report shows them.

    def note_sent(self, item: Loadable) -> None:
        """Note that the order to load *item* goes out."""
        self._sent.add(item)

    def note_unanswered(self, item: Loadable, expected_number: int) -> None:
        """Note that an order to load *item* got no answer and may take effect late.

        :param expected_number: orders that the replica must have taken for that.
        """
        self._unanswered[item] = expected_number

    def unconfirmed_loads(self) -> frozenset[Loadable]:
        """Return the loads that may be in memory, or arrive, before a report shows them."""
        loads = frozenset(self._sent) | frozenset(self._unanswered)
        if self._earlier is None:
            return loads
        if boottime_s() - self._began_s > LATE_ORDER_S:
            self._earlier = None
            return loads
        return loads | self._earlier.unconfirmed_loads()

    def note_ordered(self) -> None:
        """Note that an order goes out."""
        self._ordered_s = boottime_s()

    @property
    def is_settled(self) -> bool:
        """Return whether nothing was ordered there for longer than reports lag."""
        return boottime_s() - self._ordered_s > ORDERS_SETTLE_S

    # Polls, and the fence that the replica was shown.

    def note_report(self, report: ReplicaReport, counts: bool = True) -> None:
        """Note the answer to a poll of this process.

        Once the replica has taken a later order, an unanswered load can no longer
        take effect: it expects a lower number.

        :param counts: whether it describes a time after the last known order. One that
            does not shows that the replica is there, and no more
            (tests/orders/test_sender.py::test_late_report_confirms_nothing).
        """
        self._missed_polls = 0
        self._polled_s = boottime_s()
        if not counts:
            return
        self._confirmed_s = self._polled_s
        if not report.busy:
            self._unanswered = {
                item: expected
                for item, expected in self._unanswered.items()
                if expected >= report.order_number
            }

    def note_missed_poll(self) -> None:
        """Note a poll without an answer.

        Orders that a cut held up may arrive when it heals, so the replica has to be
        claimed anew (tests/orders/test_sender.py::test_replica_back_in_reach).
        """
        self._missed_polls += 1
        self._claimed_fence = 0

    def note_claimed(self, fence: int) -> None:
        """Note that the replica was shown *fence*."""
        self._claimed_fence = fence
        self._claimed_s = boottime_s()

    def is_claimed_under(self, fence: int) -> bool:
        """Return whether *fence* was shown to the replica, and it answered since."""
        return self._claimed_fence == fence

    @property
    def missed_polls(self) -> int:
        """Return how many polls in a row the replica has left unanswered."""
        return self._missed_polls

    @property
    def is_lost(self) -> bool:
        """Return whether the replica has not answered for so long that it counts as lost."""
        return self._missed_polls >= LOST_AFTER_POLLS

    @property
    def is_fresh(self) -> bool:
        """Return whether this process itself saw lately what the replica does.

        What a predecessor sent may lack a load that is still under way. Once a poll has
        shown what it left behind, late ones do as well: they lack own orders only.
        """
        settled_s = self._claimed_s + REPORT_SETTLE_S
        return boottime_s() - self._polled_s < FRESH_S and self._confirmed_s > settled_s

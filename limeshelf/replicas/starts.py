"""Which start of a replica a statement speaks of, where replicas start again under their id.

A replica that starts again holds nothing and counts from the beginning. Its statements may say
when it started (:attr:`~limeshelf.replicas.record.ReplicaRecord.born_ms`); those that do not say
so are of the known start. Owns what is known of the current start of one replica; relies on the
clock of its callers.
"""

from __future__ import annotations

import enum

import attrs

#: A start that states an earlier time than the known one replaces it only after its statements
#: have come for this long, in seconds, and none of the known one: the clock of its machine has
#: stepped back. A write to the store that got no answer is done up to 6 s later (the users'
#: pages), so what an earlier start wrote has arrived by then.
STEPPED_BACK_S = 8.0


class StatementWay(enum.StrEnum):
    """How a statement of a replica came."""

    ROW = 'row'
    #: Its answer to this gateway.
    REPORT = 'report'
    #: The leader's message.
    PEER = 'peer'


class StartOrder(enum.Enum):
    """Which start a statement speaks of, beside the known one."""

    SAME = enum.auto()
    LATER = enum.auto()
    EARLIER = enum.auto()


@attrs.frozen
class ReplicaStart:
    """One start of a replica, as this process tells its starts apart.

    What is learned, counted or under way at a replica is kept by its start. A row that went
    and came back begins none.

    :param number: starts of it that this process has known before.
    """

    replica_id: str
    number: int = 0


@attrs.define
class KnownStart:
    """What is known of the current start of one replica.

    :param born_ms: when it started, in milliseconds since 1970 on the clock of its machine;
        ``None`` while it has not said so.
    :param learned_s: when this process learned of it, on the boot clock.
    """

    born_ms: int | None
    learned_s: float
    _doubted_born_ms: int | None = None
    _doubted_s: float = 0.0

    def order_of(
        self, born_ms: int | None, now_s: float, asked_s: float | None = None
    ) -> StartOrder:
        """Return which start a statement speaks of.

        :param born_ms: that it states, if any. The first that does makes no other start.
        :param asked_s: when the replica itself was asked for it; ``None`` where it came
            another way. Who answers a question of after this start was learned runs now,
            whatever its clock shows.
        """
        if born_ms is None or self.born_ms is None or born_ms == self.born_ms:
            self.born_ms = born_ms if self.born_ms is None else self.born_ms
            if born_ms is not None:
                self._doubted_born_ms = None
            return StartOrder.SAME
        if born_ms > self.born_ms or (asked_s is not None and asked_s > self.learned_s):
            return StartOrder.LATER
        return self._order_of_lower(born_ms, now_s)

    def _order_of_lower(self, born_ms: int, now_s: float) -> StartOrder:
        if self._doubted_born_ms != born_ms:
            self._doubted_born_ms = born_ms
            self._doubted_s = now_s
        has_stepped_back = now_s - self._doubted_s > STEPPED_BACK_S
        return StartOrder.LATER if has_stepped_back else StartOrder.EARLIER

"""How many calls a replica gets that takes only so many a second from all gateways together.

One gateway, the pacer, gives the turns of such a replica for all: the owner of its data centre,
which grants the model calls there anyway. A split of the rate among the gateways would starve
those that have more calls than their part (2.3 a second over nine is one call in four seconds
for each), and would exceed it where they disagree on their number.

Where a data centre has no owner, another one's stands in. Gateways that a cut keeps apart may see
several pacers, and so may those that learn late of a new one. So a stand-in uses a part of the
rate, and so does each pacer at first.
Owns the turns that were given; relies on the owners as the program sees them, and on
:mod:`limeshelf.replicas.backpressure` for the rate.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.membership.member import LOCAL

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from limeshelf.replicas.replica import Replica
    from limeshelf.replicas.starts import ReplicaStart

#: Part of the rate that a pacer uses at first, beside the one before it; and that all who may
#: stand in for an owner use together, beside it. Either way it is one and a half times the rate.
CAUTIOUS_SHARE = 0.5
#: A pacer is new for this long, in seconds.
NEW_FOR_S = 4.0
#: Turns of this much time, in seconds, may be saved up beside the next one. Calls come in no
#: even pace, so without it a turn that nobody wants at its moment would be lost.
SAVED_S = 0.25
#: A replica that takes fewer calls a second gets as many all the same: only an answer can tell
#: that it takes more again.
LEAST_PER_S = 0.1


@attrs.frozen
class Turn:
    """Whether a call may go to a replica, and when.

    :param wait_s: until it may go; where it may not, until another one likely may.
    """

    is_granted: bool
    wait_s: float


@attrs.define
class Pace:
    """The turns of one replica (the generic cell rate algorithm, as virtual scheduling).

    :ivar begun_s: when this process began to give turns, on the boot clock.
    """

    begun_s: float
    _per_s: float = 1.0
    _due_s: float = -math.inf

    def wait_s(self, per_s: float, now_s: float) -> float:
        """Return how long the next turn is away.

        :param per_s: turns a second, above zero.
        """
        self._change_rate(per_s, now_s)
        return max(0.0, self._due_s - SAVED_S - now_s)

    def take(self, per_s: float, at_s: float) -> None:
        """Give the next turn.

        :param per_s: turns a second, above zero.
        :param at_s: when it is taken, on the boot clock.
        """
        self._due_s = max(at_s, self._due_s) + 1 / per_s

    def _change_rate(self, per_s: float, now_s: float) -> None:
        """Let the wait that is left pass at another rate.

        A replica that took a call in ten seconds, and says with its answer that it takes more,
        would otherwise get the next one ten seconds later.
        """
        left_s = self._due_s - now_s
        if left_s > 0:
            self._due_s = now_s + left_s * self._per_s / per_s
        self._per_s = per_s


class ReplicaPaces:
    """The turns of the replicas for which this process is the pacer.

    :param owner_of: returns the owner of a data centre's replicas, as
        :class:`~limeshelf.dispatch.owners.OwnerChooser` takes it.
    :param centres: returns the data centres whose owners may stand in.
    """

    def __init__(
        self,
        owner_of: Callable[[str], str | None],
        centres: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self._owner_of = owner_of
        self._centres = centres
        self._paces: dict[ReplicaStart, Pace] = {}

    def pacer_of(self, replica: Replica) -> str | None:
        """Return the peer address of a replica's pacer.

        :data:`~limeshelf.membership.member.LOCAL` for this process, ``None`` for nobody known.
        """
        for data_centre in [replica.record.data_centre, *sorted(self._centres())]:
            owner = self._owner_of(data_centre)
            if owner is not None:
                return owner
        return None

    def wait_s(self, replica: Replica, now_s: float) -> float:
        """Return how long the next turn at a replica is away.

        0 also where it takes any number of calls, or another process gives the turns.
        """
        per_s = self._per_s(replica, now_s)
        return 0.0 if per_s is None else self._pace(replica, now_s).wait_s(per_s, now_s)

    def queue_wait_s(self, replicas: Sequence[Replica], calls: int, now_s: float) -> float:
        """Return how long turns alone make the last of some calls wait.

        :param replicas: that may take them; one that takes any number makes none wait.
        :param calls: that wait, one at least.
        """
        rates = [self._per_s(replica, now_s) for replica in replicas]
        per_s = sum(rate for rate in rates if rate is not None)
        if None in rates or not per_s:
            return 0.0
        next_s = min(self.wait_s(replica, now_s) for replica in replicas)
        return next_s + (calls - 1) / per_s

    def try_take(self, replica: Replica, patience_s: float, now_s: float) -> Turn | None:
        """Give the next turn at a replica, if it is not too far away.

        Returns ``None`` where another process gives the turns.

        :param patience_s: how long the call can wait for it, in seconds.
        """
        if replica.backpressure.rate_per_s is None:
            return Turn(True, 0.0)
        per_s = self._per_s(replica, now_s)
        if per_s is None:
            return None
        pace = self._pace(replica, now_s)
        wait_s = pace.wait_s(per_s, now_s)
        if wait_s > patience_s:
            return Turn(False, wait_s)
        pace.take(per_s, now_s + wait_s)
        return Turn(True, wait_s)

    def _per_s(self, replica: Replica, now_s: float) -> float | None:
        """Return the turns a second that this process gives; ``None`` where it gives none."""
        rate_per_s = replica.backpressure.rate_per_s
        if rate_per_s is None or self.pacer_of(replica) != LOCAL:
            return None
        return max(LEAST_PER_S, self._share(replica, now_s) * rate_per_s)

    def _share(self, replica: Replica, now_s: float) -> float:
        """Return the part of the rate that this process uses as a pacer."""
        centre = replica.record.data_centre
        if self._owner_of(centre) != LOCAL:
            # Each of the others may take itself for the one that stands in.
            others = len(set(self._centres()) - {centre})
            return CAUTIOUS_SHARE / max(1, others)
        is_new = now_s < self._pace(replica, now_s).begun_s + NEW_FOR_S
        return CAUTIOUS_SHARE if is_new else 1.0

    def _pace(self, replica: Replica, now_s: float) -> Pace:
        pace = self._paces.get(replica.start)
        if pace is None:
            earlier = [one for one in self._paces if one.replica_id == replica.replica_id]
            for start in earlier:
                del self._paces[start]
            pace = self._paces[replica.start] = Pace(now_s)
        return pace

"""Limits the calls sent to a replica that accepts only a certain rate from all gateways.

One gateway, the pacer, issues the permits of such a replica to all gateways: the owner of its data
centre, which also grants the model calls there. Splitting the rate among the gateways would starve
those with more calls than their share (2.3 per second over nine gateways is one call in four
seconds each), and would exceed the rate when they disagree on their number.

If a data centre has no owner, the owner of another one replaces it. During a network partition, or
while a change of owner is still spreading, gateways may see several pacers. So a replacement uses
only part of the rate, and so does every pacer at first.

Owns the permits issued. The owners come from the membership view of the process, the rate from
:mod:`limeshelf.replicas.backpressure`.
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

#: Share of the rate that a new pacer uses, as the previous one may still be active; also the share
#: that all possible replacements of an owner use together, as the owner may be active. In both
#: cases the total is at most one and a half times the rate.
REDUCED_RATE_SHARE = 0.5
#: Time in seconds during which a new pacer uses the reduced rate.
REDUCED_RATE_PERIOD_S = 4.0
#: Permits for this much time, in seconds, may accumulate in addition to the next one. Calls arrive
#: unevenly, so without it a permit that is not used when it becomes available would be lost.
BURST_S = 0.25
#: Lowest rate of permits, used even for a replica with a lower limit: only an answer of the
#: replica can report a higher limit.
MIN_RATE_PER_S = 0.1


@attrs.frozen
class RatePermit:
    """Whether and when a call may be sent to a replica.

    :param wait_s: time until it may be sent; if not granted, estimated time until a permit is
        available.
    """

    is_granted: bool
    wait_s: float


@attrs.define
class RateLimiter:
    """Rate limiter of one replica (generic cell rate algorithm, virtual scheduling).

    :ivar started_s: time on the boot clock at which this process began to issue permits.
    """

    started_s: float
    _rate_per_s: float = 1.0
    _next_s: float = -math.inf

    def wait_s(self, rate_per_s: float, now_s: float) -> float:
        """Return the time until the next permit is available.

        :param rate_per_s: permits per second, above zero.
        """
        self._change_rate(rate_per_s, now_s)
        return max(0.0, self._next_s - BURST_S - now_s)

    def acquire(self, rate_per_s: float, at_s: float) -> None:
        """Issue the next permit.

        :param rate_per_s: permits per second, above zero.
        :param at_s: time on the boot clock at which it is used.
        """
        self._next_s = max(at_s, self._next_s) + 1 / rate_per_s

    def _change_rate(self, rate_per_s: float, now_s: float) -> None:
        """Rescale the remaining wait to a new rate.

        Otherwise a replica that accepted one call in ten seconds, and then reports a higher rate
        with its answer, would get the next call only ten seconds later.
        """
        left_s = self._next_s - now_s
        if left_s > 0:
            self._next_s = now_s + left_s * self._rate_per_s / rate_per_s
        self._rate_per_s = rate_per_s


class ReplicaRateLimiters:
    """Rate limiters of the replicas for which this process is the pacer.

    :param owner_of: returns the owner of a data centre's replicas; see
        :class:`~limeshelf.dispatch.owners.OwnerSelector`.
    :param data_centres: returns the data centres whose owners may replace a missing one.
    """

    def __init__(
        self,
        owner_of: Callable[[str], str | None],
        data_centres: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self._owner_of = owner_of
        self._data_centres = data_centres
        self._limiters: dict[ReplicaStart, RateLimiter] = {}

    def pacer_of(self, replica: Replica) -> str | None:
        """Return the peer address of a replica's pacer.

        :returns: :data:`~limeshelf.membership.member.LOCAL` for this process, ``None`` if none is
            known.
        """
        for data_centre in [replica.record.data_centre, *sorted(self._data_centres())]:
            owner = self._owner_of(data_centre)
            if owner is not None:
                return owner
        return None

    def wait_s(self, replica: Replica, now_s: float) -> float:
        """Return the time until the next permit for a replica is available.

        0 also if the replica has no rate limit or another process issues its permits.
        """
        rate_per_s = self._permitted_rate_per_s(replica, now_s)
        return (
            0.0 if rate_per_s is None else self._limiter(replica, now_s).wait_s(rate_per_s, now_s)
        )

    def queue_wait_s(self, replicas: Sequence[Replica], calls: int, now_s: float) -> float:
        """Return how long the rate limits alone delay the last of some queued calls.

        :param replicas: that may serve the calls; a replica without a rate limit makes it 0.
        :param calls: number of queued calls, at least one.
        """
        rates = [self._permitted_rate_per_s(replica, now_s) for replica in replicas]
        rate_per_s = sum(rate for rate in rates if rate is not None)
        if None in rates or not rate_per_s:
            return 0.0
        next_s = min(self.wait_s(replica, now_s) for replica in replicas)
        return next_s + (calls - 1) / rate_per_s

    def try_acquire(self, replica: Replica, max_wait_s: float, now_s: float) -> RatePermit | None:
        """Issue the next permit for a replica, if it is available soon enough.

        :param max_wait_s: longest time that the call can wait for it, in seconds.
        :returns: ``None`` if another process issues the permits of this replica.
        """
        if replica.backpressure.rate_per_s is None:
            return RatePermit(True, 0.0)
        permitted_per_s = self._permitted_rate_per_s(replica, now_s)
        if permitted_per_s is None:
            return None
        limiter = self._limiter(replica, now_s)
        wait_s = limiter.wait_s(permitted_per_s, now_s)
        if wait_s > max_wait_s:
            return RatePermit(False, wait_s)
        limiter.acquire(permitted_per_s, now_s + wait_s)
        return RatePermit(True, wait_s)

    def _permitted_rate_per_s(self, replica: Replica, now_s: float) -> float | None:
        """Return the permits per second that this process issues; ``None`` if it issues none."""
        rate_per_s = replica.backpressure.rate_per_s
        if rate_per_s is None or self.pacer_of(replica) != LOCAL:
            return None
        return max(MIN_RATE_PER_S, self._rate_share(replica, now_s) * rate_per_s)

    def _rate_share(self, replica: Replica, now_s: float) -> float:
        """Return the share of the rate that this process uses as a pacer."""
        replica_centre = replica.record.data_centre
        if self._owner_of(replica_centre) != LOCAL:
            # Each of the other owners may consider itself the replacement.
            others = len(set(self._data_centres()) - {replica_centre})
            return REDUCED_RATE_SHARE / max(1, others)
        is_new = now_s < self._limiter(replica, now_s).started_s + REDUCED_RATE_PERIOD_S
        return REDUCED_RATE_SHARE if is_new else 1.0

    def _limiter(self, replica: Replica, now_s: float) -> RateLimiter:
        limiter = self._limiters.get(replica.start)
        if limiter is None:
            earlier = [known for known in self._limiters if known.replica_id == replica.replica_id]
            for start in earlier:
                del self._limiters[start]
            limiter = self._limiters[replica.start] = RateLimiter(now_s)
        return limiter

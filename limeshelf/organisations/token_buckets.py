"""Smooths the usage of organisations with a token bucket for each.

With the window alone, an organisation that exceeds its limit uses up its quota at once and then
has every call refused until the window has passed: at 7.5 times the usual rate, one second of
calls that fill all queues is followed by 7 s without any. Owns the levels of the buckets; the
quota of the window is enforced by :mod:`limeshelf.organisations.limiter`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.organisations.limits import LimitRule
    from limeshelf.organisations.organisation import UsageLimit

#: The capacity of a bucket is at least what the rate allows in this time, whatever burst the
#: limit allows, because calls arrive in clusters even at a steady average rate.
MIN_BUCKET_S = 3.0
#: The capacity of a bucket is also at least this many of the largest calls seen, because the
#: burst of a small limit holds only two or three of them. Under light load 0.016 of the calls
#: were refused with this minimum and 0.018 without (one run each); the quota of the window
#: causes most of these refusals.
MIN_BUCKET_CALLS = 6


@attrs.define
class _Bucket:
    """The bucket of one organisation.

    :ivar level: units available now; negative after a call whose cost exceeded the level.
    :ivar largest: cost of the largest call seen.
    """

    level: float
    updated_s: float
    largest: int = 0


class TokenBuckets:
    """The token buckets of a data centre, one for each organisation; initially full."""

    def __init__(self, rule: LimitRule) -> None:
        self._rule = rule
        self._buckets: dict[str, _Bucket] = {}

    def wait_s(self, organisation: str, limit: UsageLimit, amount: int, now_s: float) -> float:
        """Return the time until a call may be admitted, in seconds; 0 for now.

        :param limit: limit in force now; it may have changed since the last call.
        :param amount: cost of the call, in units of the limit.
        """
        per_s = self._rule.centre_rate_per_s(limit)
        bucket = self._buckets.get(organisation)
        largest = max(amount, bucket.largest if bucket is not None else 0)
        capacity = max(
            self._rule.centre_burst(limit), MIN_BUCKET_S * per_s, MIN_BUCKET_CALLS * largest
        )
        if bucket is None:
            bucket = self._buckets[organisation] = _Bucket(capacity, now_s)
        bucket.largest = largest
        elapsed_s = now_s - bucket.updated_s
        bucket.level = min(capacity, bucket.level + per_s * elapsed_s)
        bucket.updated_s = now_s
        return max(0.0, (min(float(amount), capacity) - bucket.level) / per_s)

    def deduct(self, organisation: str, amount: int) -> None:
        """Deduct the cost of an admitted call; :meth:`wait_s` must have returned 0 for it."""
        self._buckets[organisation].level -= amount

"""Spreads what organisations may use over time, by a token bucket each.

A window alone lets an organisation that sends many times its usual use all of it at once, and
then nothing for as long: at 7.5 times the usual rate, a second of everything, which fills the
queues of all, and 7 s of nothing. Owns the levels of the buckets; the bound itself stands in
:mod:`limeshelf.organisations.limiter`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.organisations.limits import LimitRule
    from limeshelf.organisations.organisation import UsageLimit

#: A bucket holds what may be used in this time at least, whatever burst the limit allows: calls
#: come in clumps also at a steady rate.
LEAST_BUCKET_S = 3.0
#: ...and so many of the largest calls that came, since a bucket of a small limit's burst holds
#: two or three. On a quiet day 0.016 of the calls were refused with it and 0.018 without (one
#: play each): most of these the window's part refuses.
LEAST_BUCKET_CALLS = 6


@attrs.define
class _Bucket:
    """The bucket of one organisation.

    :ivar level: what may be used now; below zero after a call that counts more than it holds.
    :ivar largest: what the largest call counted that came.
    """

    level: float
    updated_s: float
    largest: int = 0


class Paces:
    """The buckets of the organisations of a data centre; each is full at its start."""

    def __init__(self, rule: LimitRule) -> None:
        self._rule = rule
        self._buckets: dict[str, _Bucket] = {}

    def wait_s(self, organisation: str, limit: UsageLimit, amount: int, now_s: float) -> float:
        """Return the time until a call may be let through, in seconds; 0 for now.

        :param limit: in force now; it may have changed since the last call.
        """
        per_s = self._rule.pace_per_s(limit)
        bucket = self._buckets.get(organisation)
        largest = max(amount, bucket.largest if bucket is not None else 0)
        capacity = max(
            self._rule.pace_burst(limit), LEAST_BUCKET_S * per_s, LEAST_BUCKET_CALLS * largest
        )
        if bucket is None:
            bucket = self._buckets[organisation] = _Bucket(capacity, now_s)
        bucket.largest = largest
        passed_s = now_s - bucket.updated_s
        bucket.level = min(capacity, bucket.level + per_s * passed_s)
        bucket.updated_s = now_s
        return max(0.0, (min(float(amount), capacity) - bucket.level) / per_s)

    def take(self, organisation: str, amount: int) -> None:
        """Let a call through; :meth:`wait_s` was asked for it."""
        self._buckets[organisation].level -= amount

"""Random delays that keep many processes from acting at the same moment.

Exponential backoff with full or equal jitter for retries, and jittered periods for loops.
"""

from __future__ import annotations

import random

#: Maximum number of doublings of a bound, to keep the power small.
MAX_DOUBLINGS = 16
#: Share by which a period varies in either direction.
PERIOD_JITTER_SHARE = 0.1


def full_jitter_s(attempt: int, base_s: float, limit_s: float) -> float:
    """Return a random delay between zero and the capped exponential bound.

    :param attempt: number of failed attempts so far, from 0.
    :param base_s: bound at attempt 0, in seconds; it doubles with each further attempt.
    :param limit_s: largest bound, in seconds.
    """
    return random.uniform(0.0, _bound_s(attempt, base_s, limit_s))


def equal_jitter_s(attempt: int, base_s: float, limit_s: float) -> float:
    """Return a random delay between half of the capped exponential bound and all of it.

    Unlike :func:`full_jitter_s`, it limits the rate of retries. The parameters are the same.
    """
    bound_s = _bound_s(attempt, base_s, limit_s)
    return random.uniform(0.5 * bound_s, bound_s)


def _bound_s(attempt: int, base_s: float, limit_s: float) -> float:
    doublings: int = 2 ** min(attempt, MAX_DOUBLINGS)
    return min(limit_s, base_s * doublings)


def jittered_s(period_s: float) -> float:
    """Return *period_s* varied by up to a tenth, so that processes do not synchronise."""
    return period_s * random.uniform(1 - PERIOD_JITTER_SHARE, 1 + PERIOD_JITTER_SHARE)

"""Pauses that keep many processes from acting at the same moment.

Exponential backoff with full or equal jitter for retries, and jittered periods for loops.
"""

from __future__ import annotations

import random

#: Doublings after which a bound grows no further; keeps the power small.
MAX_DOUBLINGS = 16
#: A period varies by this share to either side.
PERIOD_JITTER_SHARE = 0.1


def full_jitter_s(attempt: int, base_s: float, limit_s: float) -> float:
    """Return a random pause between zero and the capped exponential bound.

    :param attempt: failed attempts so far, from 0.
    :param base_s: bound at attempt 0, in seconds; doubled with each further one.
    :param limit_s: largest bound, in seconds.
    """
    return random.uniform(0.0, _bound_s(attempt, base_s, limit_s))


def equal_jitter_s(attempt: int, base_s: float, limit_s: float) -> float:
    """Return a random pause between half of the capped exponential bound and all of it.

    Unlike :func:`full_jitter_s` it bounds how often a process may retry. Arguments as there.
    """
    bound_s = _bound_s(attempt, base_s, limit_s)
    return random.uniform(0.5 * bound_s, bound_s)


def _bound_s(attempt: int, base_s: float, limit_s: float) -> float:
    doublings: int = 2 ** min(attempt, MAX_DOUBLINGS)
    return min(limit_s, base_s * doublings)


def jittered_s(period_s: float) -> float:
    """Return *period_s* varied by a tenth, so that processes do not run in step."""
    return period_s * random.uniform(1 - PERIOD_JITTER_SHARE, 1 + PERIOD_JITTER_SHARE)

"""Exponential backoff with full jitter."""

from __future__ import annotations

import random


def full_jitter_s(attempt: int, base_s: float, limit_s: float) -> float:
    """Return a random pause between zero and the capped exponential bound.

    :param attempt: tries made so far, from 0.
    :param base_s: bound after the first try.
    :param limit_s: largest bound.
    """
    bound_s = min(limit_s, base_s * 2 ** min(attempt, 16))
    return random.uniform(0.0, bound_s)


def jittered_s(period_s: float) -> float:
    """Return *period_s* varied by a tenth, so that peers do not beat in step."""
    return period_s * random.uniform(0.9, 1.1)

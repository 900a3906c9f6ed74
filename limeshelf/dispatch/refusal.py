"""Decides which queued requests are refused at once, and estimates their wait.

A caller whose answer would be late is better refused early, with a time for the retry. A call that
was refused before is better served late than refused again, so it may wait until its caller gives
up.

Owns the rule only; :mod:`limeshelf.dispatch.dispatcher` computes the queue position.
"""

from __future__ import annotations

import attrs

#: Share of the time that replicas spend on prefill while requests wait for them; the rest goes to
#: the decode steps of running calls. Not the same as ``PLANNED_PREFILL_SHARE`` of the demand,
#: which determines how many copies of a model are planned.
PREFILL_DUTY = 0.65
#: Share of the time to the objective that a request may wait; the rest is left for the prefill and
#: the round trip.
IN_TIME_SHARE = 0.8


@attrs.frozen
class QueuePosition:
    """The position of a request in the queue.

    :param queued_prefill_ms: estimated prefill time of the requests that its holders serve first:
        those for the same model that are at least as urgent, the request itself included.
    :param holders: number of replicas that may serve it; at least 1.
    :param objective_ms: time left until its first event is late.
    :param left_ms: time left until its caller gives up.
    :param is_caller_retry: the caller retries after a refusal.
    """

    queued_prefill_ms: float
    holders: int
    objective_ms: int
    left_ms: int
    is_caller_retry: bool


@attrs.frozen
class WaitEstimate:
    """Estimated and longest allowed wait of a queued request, in milliseconds."""

    expected_ms: float
    max_ms: float

    def at_least(self, expected_ms: float) -> WaitEstimate:
        """Return the estimate raised to *expected_ms*, the wait for another limited resource."""
        return attrs.evolve(self, expected_ms=max(self.expected_ms, expected_ms))

    @property
    def is_too_long(self) -> bool:
        """Return whether the request should be refused at once."""
        return self.expected_ms > self.max_ms


def estimate_wait(position: QueuePosition) -> WaitEstimate:
    """Return the estimated and the longest allowed wait of a request at its position."""
    max_ms = position.objective_ms * IN_TIME_SHARE
    if position.is_caller_retry:
        max_ms = position.left_ms
    expected_ms = position.queued_prefill_ms / (position.holders * PREFILL_DUTY)
    return WaitEstimate(expected_ms, max_ms)

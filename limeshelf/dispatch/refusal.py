"""When a queued request is refused at once, and with which expected wait.

A caller that would be served too late is better refused early, with the time to come
back. One that was refused before is rather served late than refused again, so it may wait
as long as its caller does.
Owns the rule alone; the position in the queue is counted by
:mod:`limeshelf.dispatch.dispatcher`.
"""

from __future__ import annotations

import attrs

#: Part of the time that replicas read while requests wait for them; the rest goes to the steps
#: of running calls. ``PLANNED_PREFILL_SHARE`` of the demand is
#: another: it sizes copies for demand to come.
READING_DUTY = 0.65
#: Part of the time to the objective that a wait may take; the rest is left for reading the
#: prompt and the round trip.
IN_TIME_SHARE = 0.8


@attrs.frozen
class QueuePosition:
    """Where a request stands in the queue.

    :param ahead_ms: reading that its holders likely have before it: the requests for the same
        model that are as urgent or more, the request itself included.
    :param holders: replicas that may take it; at least 1.
    :param objective_ms: time left until its first event is late.
    :param left_ms: time left until its caller gives up.
    :param returned: its caller was refused before.
    """

    ahead_ms: float
    holders: int
    objective_ms: int
    left_ms: int
    returned: bool


@attrs.frozen
class WaitEstimate:
    """How long a queued request likely waits, and how long it may, in milliseconds."""

    expected_ms: float
    bearable_ms: float

    def at_least(self, expected_ms: float) -> WaitEstimate:
        """Return the estimate of a request that also waits for something else, so long."""
        return attrs.evolve(self, expected_ms=max(self.expected_ms, expected_ms))

    @property
    def is_too_long(self) -> bool:
        """Return whether the request is better refused at once."""
        return self.expected_ms > self.bearable_ms


def estimate_wait(position: QueuePosition) -> WaitEstimate:
    """Return how long a request likely waits where it stands, and how long it may."""
    bearable_ms = position.objective_ms * IN_TIME_SHARE
    if position.returned:
        bearable_ms = position.left_ms
    expected_ms = position.ahead_ms / (position.holders * READING_DUTY)
    return WaitEstimate(expected_ms, bearable_ms)

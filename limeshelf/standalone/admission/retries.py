"""Whether a request that failed at one upstream may be sent to another.

Owns the retry budget of one model or route, and the limits of attempts. The caller
of :func:`may_retry` has made sure that the failed attempt may be repeated at all.
"""

from __future__ import annotations

import attrs

#: Attempts of one model request, the first included.
MODEL_ATTEMPTS_LIMIT = 4
#: Attempts of one plain call, the first included.
PLAIN_ATTEMPTS_LIMIT = 3
#: Retries that may be saved up while all goes well.
SAVED_RETRIES_LIMIT = 10.0
#: An upstream that could not be reached gets no new work for this long.
AVOID_S = 1.0
#: Retry-After when no replica is ready, or none may be tried any more.
NOT_READY_RETRY_S = 2.0


@attrs.define
class RouteRetryBudget:
    """Allows retries of one model or route as a share of its first attempts.

    Not :class:`limeshelf.admission.retry_budget.RetryBudget`: that one has an
    allowance that refills with time and is divided among all gateways.

    :param ratio: retries for each first attempt, the setting ``entry.retry_ratio``.
    """

    ratio: float
    _saved: float = SAVED_RETRIES_LIMIT

    def note_first_attempt(self) -> None:
        """Count a first attempt, which earns a part of a retry."""
        self._saved = min(SAVED_RETRIES_LIMIT, self._saved + self.ratio)

    def try_retry(self) -> bool:
        """Take one retry from the budget if it holds one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


@attrs.frozen
class RetryQuestion:
    """What is known of a request when an attempt has failed.

    :param attempts: attempts made, the failed one included.
    :param attempts_limit: most attempts of a request of its kind.
    :param remaining_s: time to the request's deadline.
    """

    attempts: int
    attempts_limit: int
    remaining_s: float


def may_retry(question: RetryQuestion, budget: RouteRetryBudget) -> bool:
    """Return whether another attempt may be made; if so, take it from *budget*."""
    return (
        question.attempts < question.attempts_limit
        and question.remaining_s > 0
        and budget.try_retry()
    )

"""A budget that keeps retries a small share of the first tries."""

from __future__ import annotations

import attrs

#: Retries that may be saved up while all goes well.
SAVED_LIMIT = 10.0


@attrs.define
class RouteRetryBudget:
    """Allows retries of one model or route as a share of its first tries.

    Not :class:`limeshelf.admission.retry_budget.RetryBudget`: that one has an
    allowance that refills with time and is divided among all gateways.

    :param ratio: retries for each first try.
    """

    ratio: float
    _saved: float = SAVED_LIMIT

    def note_first_try(self) -> None:
        """Count a first try, which earns a part of a retry."""
        self._saved = min(SAVED_LIMIT, self._saved + self.ratio)

    def try_retry(self) -> bool:
        """Take one retry from the budget if it holds one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

"""A budget that keeps retries a small share of the first tries."""

from __future__ import annotations

import attrs

#: Retries that may be saved up while all goes well.
SAVED_LIMIT = 10.0


@attrs.define
class RetryBudget:
    """Allows retries as a share of first tries.

    :param ratio: retries for each first try.
    """

    ratio: float
    _saved: float = SAVED_LIMIT
    first_tries: int = 0
    retries: int = 0
    refused: int = 0

    def note_first_try(self) -> None:
        """Count a first try, which earns a part of a retry."""
        self.first_tries += 1
        self._saved = min(SAVED_LIMIT, self._saved + self.ratio)

    def try_retry(self) -> bool:
        """Take one retry from the budget if it holds one."""
        if self._saved < 1.0:
            self.refused += 1
            return False
        self._saved -= 1.0
        self.retries += 1
        return True

"""Whether a refusal that follows from the current configuration may be final.

A caller that is told that its route or key does not exist, or that its request is too large, does
not send it again. A configuration that may be outdated cannot tell that: a newer one may allow it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.admission import retry_after
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.endings import STATUS_UNAVAILABLE, Refuse

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.active_config import ActiveConfig


@attrs.frozen
class ConfigFreshness:
    """Tells whether the current configuration may be outdated.

    :param age_s: returns the longest time, in seconds, for which it may have been outdated.
    :param max_age_s: age up to which it counts as current, in seconds.
    """

    active_config: ActiveConfig
    age_s: Callable[[], float]
    max_age_s: float

    @property
    def is_outdated(self) -> bool:
        """Return whether a newer configuration may allow what the current one does not."""
        return self.active_config.config is None or self.age_s() > self.max_age_s

    def checked(self, refusal: Refuse) -> Refuse:
        """Return a final refusal, or the one to retry if the configuration may be outdated."""
        return config_too_old() if self.is_outdated else refusal


def config_too_old() -> Refuse:
    """Return the refusal of a call for which the configuration may be outdated."""
    outcome = NotRun(RefusalReason.CONFIG_TOO_OLD, retry_after.CONFIG_TOO_OLD_RETRY_AFTER_S)
    return Refuse(STATUS_UNAVAILABLE, outcome)

"""Authorises calls by their keys, and builds the refusals of those that fail the check.

Stateless; applies :mod:`limeshelf.organisations.access` to the current configuration.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.admission import retry_after
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.config_freshness import config_too_old
from limeshelf.gateway.endings import STATUS_UNAUTHORISED, STATUS_UNAVAILABLE, Refuse
from limeshelf.organisations.access import AccessGranted, Denial, check_access

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.active_config import ActiveConfig
    from limeshelf.calls.call import Call
    from limeshelf.calls.routes import Route
    from limeshelf.gateway.config_freshness import ConfigFreshness
    from limeshelf.organisations.access import AccessRule


@attrs.define
class AccessGuard:
    """Checks the keys of calls.

    :param config_age_s: returns the longest time, in seconds, for which the current
        configuration may have been out of date.
    :param rule: access rule; may be replaced while calls run.
    """

    active_config: ActiveConfig
    freshness: ConfigFreshness
    config_age_s: Callable[[], float]
    rule: AccessRule

    def check(self, call: Call, route: Route) -> AccessGranted | Refuse:
        """Return the access granted to a call, or its refusal.

        :param route: route of the call.
        """
        config = self.active_config.config
        if config is None:
            return Refuse(
                STATUS_UNAVAILABLE,
                NotRun(RefusalReason.STARTING, retry_after.NOT_READY_RETRY_AFTER_S),
            )
        checked = check_access(
            config.organisations,
            call.key,
            is_public=route.is_public,
            config_age_s=self.config_age_s(),
            rule=self.rule,
        )
        return checked if isinstance(checked, AccessGranted) else self._refusal_of(checked)

    def _refusal_of(self, denial: Denial) -> Refuse:
        if denial is Denial.CONFIG_TOO_OLD:
            return config_too_old()
        unknown = Refuse(STATUS_UNAUTHORISED, NotRun(RefusalReason.UNKNOWN_KEY))
        return self.freshness.checked(unknown)

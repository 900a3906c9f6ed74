"""Keeps the quota of a data centre in step with changes of an organisation's limit.

After a limit is lowered, the current window still contains usage that the earlier limit allowed.
Checked against the new limit alone, the organisation's calls would all be refused until that
usage has left the window. The earlier, higher quota therefore stays valid for one more window,
while the token buckets already admit calls at the new rate. Owns the latest limits of the
organisations; the caller passes the current time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.organisations.limits import LimitRule
    from limeshelf.organisations.organisation import UsageLimit


@attrs.frozen
class _LimitHistory:
    """The limit in force, and the largest earlier quota that is still valid.

    :ivar until_s: time until which the earlier quota is valid.
    """

    limit: UsageLimit
    earlier_quota: float = 0.0
    until_s: float = 0.0


class WindowQuotas:
    """The quotas of a data centre for the window that ends now, by organisation."""

    def __init__(self, rule: LimitRule) -> None:
        self._rule = rule
        self._limits: dict[str, _LimitHistory] = {}

    def quota(self, organisation: str, limit: UsageLimit, now_s: float) -> float:
        """Return the larger of the current quota and an earlier one that is still valid.

        :param limit: limit in force now.
        """
        history = self._limits.get(organisation)
        if history is None:
            history = self._limits[organisation] = _LimitHistory(limit)
        elif history.limit != limit:
            earlier_quota = max(
                self._rule.centre_quota(history.limit), self._earlier_quota(history, now_s)
            )
            until_s = now_s + self._rule.window_s
            history = self._limits[organisation] = _LimitHistory(limit, earlier_quota, until_s)
        return max(self._rule.centre_quota(limit), self._earlier_quota(history, now_s))

    def _earlier_quota(self, history: _LimitHistory, now_s: float) -> float:
        return history.earlier_quota if now_s < history.until_s else 0.0

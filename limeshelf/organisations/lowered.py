"""Which limit a window is judged by after the limit of an organisation was lowered.

A window that began before the change holds what the earlier limit allowed. Judged by the new
limit alone, nothing of an organisation would be let through until that has left the window.
So the earlier limit bounds the window for its length more, while calls already come at the
new pace. Owns the latest limits; relies on the clock that it is given.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.organisations.limits import LimitRule
    from limeshelf.organisations.organisation import UsageLimit


@attrs.frozen
class _LimitHistory:
    """The limit in force, and the greatest part that a window which still counts had."""

    limit: UsageLimit
    earlier_part: float = 0.0
    until_s: float = 0.0


class WindowParts:
    """What a data centre may use of each limit in the window that ends now."""

    def __init__(self, rule: LimitRule) -> None:
        self._rule = rule
        self._limits: dict[str, _LimitHistory] = {}

    def part(self, organisation: str, limit: UsageLimit, now_s: float) -> float:
        """Return the part by the limit in force, or by one before it.

        :param limit: in force now.
        """
        known = self._limits.get(organisation)
        if known is None:
            known = self._limits[organisation] = _LimitHistory(limit)
        elif known.limit != limit:
            earlier_part = max(self._rule.of_centre(known.limit), self._earlier(known, now_s))
            until_s = now_s + self._rule.window_s
            known = self._limits[organisation] = _LimitHistory(limit, earlier_part, until_s)
        return max(self._rule.of_centre(limit), self._earlier(known, now_s))

    def _earlier(self, known: _LimitHistory, now_s: float) -> float:
        return known.earlier_part if now_s < known.until_s else 0.0

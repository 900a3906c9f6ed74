"""How busy each upstream is, and how soon it would give a first token.

Owns the counts of this process's own requests in flight and the first token times that
it has learned. Relies on the upstreams' reports, which are some time old.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.standalone.config.document import PriorityClass
    from limeshelf.standalone.membership.upstreams import Upstream

#: Age at which the reported requests of others count for 1/e of their number: they may have
#: ended since.
REPORT_DECAY_S = 2.0
#: Share of a new measurement in the mean first token time.
LEARN_SHARE = 0.1
#: First token time of an idle engine before any was measured.
FIRST_TOKEN_GUESS_S = 0.05


@attrs.frozen
class _OwnAtReport:
    """Own requests in flight when a report arrived: the report counts them too."""

    heard_s: float
    own: int


_NEVER_HEARD = _OwnAtReport(float('-inf'), 0)


class UpstreamLoads:
    """Own requests in flight and learned first token times, by upstream."""

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._own_at_report: dict[str, _OwnAtReport] = {}
        #: Mean first token time for each request in work, in seconds.
        self._first_token_each_s: dict[tuple[str, PriorityClass], float] = {}

    def started(self, upstream_id: str) -> None:
        """Count a request that goes to the upstream."""
        self._own[upstream_id] = self._own.get(upstream_id, 0) + 1

    def ended(self, upstream_id: str) -> None:
        """Count a request that has ended there."""
        self._own[upstream_id] = max(0, self._own.get(upstream_id, 0) - 1)

    def own(self, upstream_id: str) -> int:
        """Return own requests in flight."""
        return self._own.get(upstream_id, 0)

    def running(self, upstream: Upstream) -> float:
        """Return the estimated number of requests in work at the upstream.

        Own requests are known exactly. Those of others are the reported ones
        less the own at the time, discounted by the report's age.
        """
        own = self.own(upstream.upstream_id)
        others = max(0, upstream.running - self._own_when_reported(upstream, own))
        age_s = max(0.0, boottime_s() - upstream.heard_s)
        return own + others * math.exp(-age_s / REPORT_DECAY_S)

    def _own_when_reported(self, upstream: Upstream, own: int) -> int:
        """Return the own requests that the newest report counts.

        Reports do not say, so the count at its first use stands for that at its
        arrival.
        """
        upstream_id = upstream.upstream_id
        known = self._own_at_report.get(upstream_id, _NEVER_HEARD)
        if known.heard_s != upstream.heard_s:
            known = self._own_at_report[upstream_id] = _OwnAtReport(upstream.heard_s, own)
        return known.own

    def learn(
        self, upstream_id: str, priority_class: PriorityClass, first_token_s: float, running: float
    ) -> None:
        """Take in a measured first token time.

        :param running: requests in work when the request was sent.
        """
        key = (upstream_id, priority_class)
        mean_s = self._first_token_each_s.get(key, FIRST_TOKEN_GUESS_S)
        sample_s = first_token_s / (1.0 + running)
        self._first_token_each_s[key] = mean_s + LEARN_SHARE * (sample_s - mean_s)

    def first_token_s(
        self, upstream: Upstream, priority_class: PriorityClass, running: float
    ) -> float:
        """Return the estimated time to the first token of one more request."""
        key = (upstream.upstream_id, priority_class)
        return self._first_token_each_s.get(key, FIRST_TOKEN_GUESS_S) * (1.0 + running)

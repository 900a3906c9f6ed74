"""How busy each upstream is, from own requests and from lagged reports."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.standalone.config.document import PriorityClass
    from limeshelf.standalone.membership.upstreams import Upstream

#: What others have in work, as reported, is believed less as it gets older.
REPORT_TRUST_S = 2.0
#: Weight of a new measurement in the mean first token time.
LEARN_RATIO = 0.1
#: First token time of an idle engine before any was measured.
FIRST_GUESS_S = 0.05


@attrs.define
class _Learned:
    """Mean first token time for each request in work."""

    seconds: float = FIRST_GUESS_S


class LoadBook:
    """Own requests in flight and learned first token times, by upstream."""

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._own_at_report: dict[str, tuple[float, int]] = {}
        self._learned: dict[tuple[str, PriorityClass], _Learned] = {}

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
        upstream_id = upstream.upstream_id
        own = self.own(upstream_id)
        heard_s, own_then = self._own_at_report.get(upstream_id, (float('-inf'), 0))
        if heard_s != upstream.heard_s:
            own_then = own
            self._own_at_report[upstream_id] = (upstream.heard_s, own)
        others = max(0, upstream.running - own_then)
        age_s = max(0.0, boottime_s() - upstream.heard_s)
        return own + others * math.exp(-age_s / REPORT_TRUST_S)

    def learn(
        self, upstream_id: str, priority_class: PriorityClass, seconds: float, running: float
    ) -> None:
        """Take in a measured first token time at a known load."""
        learned = self._learned.setdefault((upstream_id, priority_class), _Learned())
        sample = seconds / (1.0 + running)
        learned.seconds += LEARN_RATIO * (sample - learned.seconds)

    def first_token_s(
        self, upstream: Upstream, priority_class: PriorityClass, running: float
    ) -> float:
        """Return the estimated time to the first token of one more request."""
        learned = self._learned.get((upstream.upstream_id, priority_class))
        each_s = learned.seconds if learned else FIRST_GUESS_S
        return each_s * (1.0 + running)

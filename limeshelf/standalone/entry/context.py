"""What the request handlers of an entry process share.

Owns the retry budgets; everything else belongs to the module that its type is from.
"""

from __future__ import annotations

import attrs

from limeshelf.metrics.decision_log import DecisionLog
from limeshelf.metrics.statsd import Metrics
from limeshelf.settings.model import EntrySettings
from limeshelf.standalone.admission.retries import RouteRetryBudget
from limeshelf.standalone.claims.keeper import ClaimKeeper
from limeshelf.standalone.config.holder import ConfigHolder
from limeshelf.standalone.entry.demand import DemandCounter
from limeshelf.standalone.entry.lifecycle import Lifecycle
from limeshelf.standalone.entry.request_policies import PolicyCache
from limeshelf.standalone.entry.samples import PolicySamples
from limeshelf.standalone.membership.upstreams import UpstreamDirectory
from limeshelf.standalone.routing.loads import UpstreamLoads
from limeshelf.standalone.upstreams.pool import UpstreamPool


@attrs.define
class EntryContext:
    """Everything a handler needs beside the request."""

    instance_id: str
    settings: EntrySettings
    config: ConfigHolder
    upstreams: UpstreamDirectory
    pool: UpstreamPool
    claims: ClaimKeeper
    metrics: Metrics
    decisions: DecisionLog
    demand: DemandCounter
    lifecycle: Lifecycle
    loads: UpstreamLoads = attrs.field(factory=UpstreamLoads)
    samples: PolicySamples = attrs.field(factory=PolicySamples)
    policies: PolicyCache = attrs.field(factory=PolicyCache)
    budgets: dict[str, RouteRetryBudget] = attrs.field(factory=dict)

    def budget(self, route: str) -> RouteRetryBudget:
        """Return the retry budget of a model or route."""
        found = self.budgets.get(route)
        if found is None:
            found = self.budgets[route] = RouteRetryBudget(self.settings.retry_ratio)
        return found

"""One data centre of an experiment: its real placer and what its entries know.

Owns the demand that has come since the placers were last sent it. Relies on the placer,
the lease and the directory of the programs, over the simulated engines and the shared table.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from limeshelf.errors import LimeshelfError
from limeshelf.metrics.decision_log import DecisionLog
from limeshelf.metrics.statsd import Metrics
from limeshelf.settings.model import MetricsSettings, PlacerSettings
from limeshelf.standalone.lease.keeper import LeaderLease
from limeshelf.standalone.membership.upstreams import UpstreamDirectory
from limeshelf.standalone.messages import Demand, ItemDemand
from limeshelf.standalone.placement.anchors import AnchorDirectory
from limeshelf.standalone.placement.placer import Placer
from limeshelf.standalone.routing.loads import UpstreamLoads

if TYPE_CHECKING:
    from limeshelf.standalone.config.holder import ConfigHolder
    from limeshelf.standalone.experiment.engine import SimulatedEngine
    from limeshelf.standalone.services.instances import Listed

#: An upstream's state older than this is not trusted.
STALE_S = 4.0
#: Loads of one data centre that run at one time.
MAX_LOADS = 4


class EnginePool:
    """Gives the placers the simulated engines."""

    def __init__(self, engines: dict[str, SimulatedEngine]) -> None:
        self._engines = engines

    def engine(self, upstream: Any) -> SimulatedEngine:
        """Return the engine of an upstream."""
        return self._engines[upstream.listed.instance_id]


@attrs.define
class Centre:
    """One data centre.

    :param arrived: requests by item since the demand was last taken; likewise
        *refused*; *waiting* are those now in work.
    """

    name: str
    upstreams: UpstreamDirectory
    loads: UpstreamLoads
    placer: Placer
    lease: LeaderLease
    arrived: dict[str, int] = attrs.field(factory=dict)
    refused: dict[str, int] = attrs.field(factory=dict)
    waiting: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    def from_parts(
        cls,
        name: str,
        listed: list[Listed],
        config: ConfigHolder,
        engines: dict[str, SimulatedEngine],
        table: Any,
        loads_per_s: float,
    ) -> Centre:
        """Build a data centre around the shared table and the engines."""
        settings = PlacerSettings(loads_per_s=loads_per_s, max_loads=MAX_LOADS)
        upstreams = UpstreamDirectory(name, STALE_S)
        upstreams.take_listed(listed)
        lease = LeaderLease(table, name, f'placer-{name}', settings.lease_s)
        pool: Any = EnginePool(engines)
        placer = Placer(
            name,
            settings,
            config,
            upstreams,
            pool,
            table,
            lease,
            AnchorDirectory(table, lease, name),
            Metrics(MetricsSettings(), 'experiment'),
            DecisionLog(False),
        )
        return cls(name, upstreams, UpstreamLoads(), placer, lease)

    async def place(self) -> None:
        """Keep the lease, plan, order and read reports once."""
        await self.lease.step()
        await self.placer.round()
        for task in self.placer.worker_tasks.values():
            task.cancel()
        for worker in self.placer.workers.values():
            try:
                await worker.step()
            except LimeshelfError:
                # A dead engine answers no order, as in production; the next round
                # asks it again.
                continue

    def take_demand(self, period_s: float) -> Demand:
        """Return the demand since the last time."""
        names = {*self.arrived, *self.refused, *self.waiting}
        items = [
            ItemDemand(
                name,
                self.arrived.get(name, 0),
                self.refused.get(name, 0),
                self.waiting.get(name, 0),
            )
            for name in sorted(names)
        ]
        self.arrived.clear()
        self.refused.clear()
        return Demand(f'entry-{self.name}', period_s, items)

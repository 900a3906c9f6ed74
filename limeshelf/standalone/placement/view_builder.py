"""Builds the view of a placement round.

Reads the configuration, the upstream directory, the anchors, the demand and the workers'
ledgers. Owns the time at which each engine with an anchor was last seen open.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.standalone.config.items import items_of
from limeshelf.standalone.membership.rendezvous import rank
from limeshelf.standalone.placement.view import AnchorView, EngineView, PlacementView, UnitView
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from limeshelf.standalone.config.holder import ConfigHolder
    from limeshelf.standalone.membership.upstreams import Upstream, UpstreamDirectory
    from limeshelf.standalone.placement.anchors import AnchorDirectory
    from limeshelf.standalone.placement.demand import DemandTracker
    from limeshelf.standalone.placement.worker import EngineWorker

#: An engine with an anchor that was not seen open for this long counts as lost
#: (docs/design/reachable.rst).
ENGINE_LOST_AFTER_S = 15.0


class PlacementViewBuilder:
    """Builds the view of each round.

    :param fresh_s: maximum age of the last report of an own engine; with an older one the
        engine does not count as open.
    """

    def __init__(
        self,
        data_centre: str,
        config: ConfigHolder,
        upstreams: UpstreamDirectory,
        anchors: AnchorDirectory,
        demand: DemandTracker,
        fresh_s: float,
    ) -> None:
        self._data_centre = data_centre
        self._config = config
        self._upstreams = upstreams
        self._anchors = anchors
        self._demand = demand
        self._fresh_s = fresh_s
        self._last_open_s: dict[str, float] = {}

    def build(self, now_s: float, workers: Mapping[str, EngineWorker]) -> PlacementView:
        """Return the view of the round at *now_s* (boot clock)."""
        catalog = self._config.catalog
        engines = {
            upstream.upstream_id: self._engine(upstream, workers.get(upstream.upstream_id))
            for upstream in self._upstreams.engines()
        }
        used = self._demand.used_items(now_s)
        units = {}
        for deployment in catalog.document.deployments:
            items = tuple(items_of(deployment))
            units[deployment.name] = UnitView(
                deployment.name,
                items,
                deployment.min_replicas,
                self._demand.load(deployment.name),
                frozenset(item.item_id for item in items if item.item_id in used),
                self._demand.idle_s(deployment.name, now_s),
            )
        centres = {engine.data_centre for engine in engines.values()} | {self._data_centre}
        ranks = {model: rank(model, centres).index(self._data_centre) for model in units}
        anchors = {
            model: AnchorView(
                anchor.upstream_id,
                anchor.data_centre,
                anchor.handoff,
                self._is_lost(anchor.upstream_id, engines, now_s),
            )
            for model, anchor in self._anchors.all().items()
        }
        return PlacementView(now_s, self._data_centre, units, engines, anchors, ranks)

    def _engine(self, upstream: Upstream, worker: EngineWorker | None) -> EngineView:
        is_open = self._upstreams.takes_work(upstream, self._config.catalog.drained)
        if worker is not None:
            recent = boottime_s() - worker.reported_s < self._fresh_s
            return EngineView(
                upstream.upstream_id,
                upstream.listed.data_centre,
                True,
                is_open and recent and worker.is_ready,
                upstream.listed.capacity_bytes,
                worker.ledger.free_bytes,
                frozenset(worker.ledger.possible_ids()),
                frozenset(worker.ledger.sure_ids()),
                float(upstream.running),
                worker.ledger.held_bytes(),
            )
        return EngineView(
            upstream.upstream_id,
            upstream.listed.data_centre,
            False,
            is_open and self._upstreams.is_fresh(upstream),
            upstream.listed.capacity_bytes,
            0,
            upstream.ready_items,
            upstream.ready_items,
            float(upstream.running),
        )

    def _is_lost(self, upstream_id: str, engines: dict[str, EngineView], now_s: float) -> bool:
        engine = engines.get(upstream_id)
        if engine is not None and engine.open:
            self._last_open_s[upstream_id] = now_s
        return now_s - self._last_open_s.setdefault(upstream_id, now_s) > ENGINE_LOST_AFTER_S

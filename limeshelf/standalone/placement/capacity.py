"""Finds own engines with free memory for a model and reserves memory within a round.

Reads only the view of the round; :mod:`limeshelf.standalone.placement.eviction` chooses the
unloads that make memory free.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.placement.eviction import eviction_moves
from limeshelf.standalone.placement.view import Move, MoveKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.standalone.config.items import Item
    from limeshelf.standalone.placement.view import EngineView, PlacementView, UnitView


@attrs.define
class Reservations:
    """Memory, by engine, that earlier moves of the same round will use.

    Without reservations two moves of one round could count on the same free bytes.
    """

    _bytes: dict[str, int] = attrs.field(factory=dict)

    def add(self, engine: EngineView, total_bytes: int) -> None:
        """Reserve *total_bytes* on *engine* until the end of the round."""
        upstream_id = engine.upstream_id
        self._bytes[upstream_id] = self._bytes.get(upstream_id, 0) + total_bytes

    def free_bytes(self, engine: EngineView) -> int:
        """Return the free and unreserved bytes of *engine*; negative if too many are reserved."""
        return engine.free_bytes - self._bytes.get(engine.upstream_id, 0)


def missing_items(unit: UnitView, engine: EngineView) -> list[Item]:
    """Return the items of *unit* that are certainly not in the memory of *engine*."""
    return [item for item in unit.items if item.item_id not in engine.possible_ids]


def ready_engine(unit: UnitView, view: PlacementView) -> EngineView | None:
    """Return the least loaded own engine on which all items of the unit are ready."""
    wanted = {item.item_id for item in unit.items}
    holders = [engine for engine in view.replicas(unit.base.item_id) if engine.own]
    ready = [engine for engine in holders if wanted <= engine.sure_ids]
    return min(ready, key=lambda e: (e.load, e.upstream_id), default=None)


def engine_with_most_free(
    unit: UnitView, engines: Iterable[EngineView], reservations: Reservations
) -> EngineView | None:
    """Return the engine with the most free memory, if the whole unit fits there."""
    fitting = [e for e in engines if reservations.free_bytes(e) >= unit.total_bytes]
    return max(fitting, key=lambda e: (reservations.free_bytes(e), e.upstream_id), default=None)


def reserve_missing(unit: UnitView, engine: EngineView, reservations: Reservations) -> None:
    """Reserve memory on *engine* for the items of *unit* that it lacks."""
    reservations.add(engine, sum(item.total_bytes for item in missing_items(unit, engine)))


def load_on_another_engine(
    unit: UnitView, view: PlacementView, reservations: Reservations, reason: str
) -> list[Move]:
    """Return loads of *unit* on an own engine that lacks it, or the unloads needed first."""
    lacking = [e for e in view.own_engines if unit.base.item_id not in e.possible_ids]
    engine = engine_with_most_free(unit, lacking, reservations)
    if engine is not None:
        reserve_missing(unit, engine, reservations)
        return loads_on(unit, engine, list(unit.items), reason)
    for candidate in sorted(lacking, key=lambda e: (e.load, e.upstream_id)):
        free_bytes = reservations.free_bytes(candidate)
        unloads = eviction_moves(unit, candidate, view, unit.total_bytes - free_bytes)
        if unloads:
            return unloads
    return []


def loads_on(unit: UnitView, engine: EngineView, items: list[Item], reason: str) -> list[Move]:
    """Return the loads that can start now; an adapter needs its base model to be ready."""
    return [
        Move(MoveKind.LOAD, unit.model, engine.upstream_id, item, reason)
        for item in items
        if not item.base_id or item.base_id in engine.sure_ids
    ]

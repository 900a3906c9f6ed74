"""Chooses the replicas beside the anchors that an engine unloads to make memory free.

Reads only the view of the round. The unloads are proposals: the unload gate
(:mod:`limeshelf.standalone.placement.gate`) checks each one again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.standalone.config.items import Item, model_of
from limeshelf.standalone.placement.view import Move, MoveKind

if TYPE_CHECKING:
    from limeshelf.standalone.placement.view import EngineView, PlacementView, UnitView


def eviction_moves(
    unit: UnitView,
    engine: EngineView,
    view: PlacementView,
    short_bytes: int,
    idle_s: float = 0.0,
) -> list[Move]:
    """Return unloads of redundant replicas on *engine* that make *short_bytes* free.

    Old versions go first, then the models that have been idle the longest.

    :param unit: the model that the memory is for; it is not unloaded.
    :param short_bytes: bytes that the model needs beyond the free memory.
    :param idle_s: replicas used more recently than this are not unloaded.
    :returns: no moves if no memory is short, or if all possible unloads are not enough.
    """
    moves: list[Move] = []
    for item_id in _redundant_old_versions(engine, view):
        if short_bytes <= 0:
            break
        item = Item(item_id, '', 0, 0)
        moves.append(
            Move(MoveKind.UNLOAD, model_of(item_id), engine.upstream_id, item, 'evict-old')
        )
        short_bytes -= engine.held_bytes.get(item_id, 0)
    for other in sorted(view.units.values(), key=lambda u: (-u.idle_s, u.model)):
        if short_bytes <= 0:
            break
        if other.model == unit.model or not _is_redundant(other, engine, view, idle_s):
            continue
        for item in reversed(other.items):
            if item.item_id in engine.possible_ids:
                moves.append(Move(MoveKind.UNLOAD, other.model, engine.upstream_id, item, 'evict'))
                short_bytes -= item.total_bytes
    return moves if short_bytes <= 0 else []


def _redundant_old_versions(engine: EngineView, view: PlacementView) -> list[str]:
    """Return old versions on *engine* that their anchor engines also hold, adapters first."""
    found = []
    for item_id in sorted(engine.sure_ids, reverse=True):
        unit = view.units.get(model_of(item_id))
        if unit is None or any(item.item_id == item_id for item in unit.items):
            continue
        anchor = view.anchors.get(unit.model)
        if anchor is None or anchor.upstream_id == engine.upstream_id:
            continue
        if any(e.upstream_id == anchor.upstream_id for e in view.replicas(item_id)):
            found.append(item_id)
    return found


def _is_redundant(unit: UnitView, engine: EngineView, view: PlacementView, idle_s: float) -> bool:
    anchor = view.anchors.get(unit.model)
    return (
        unit.base.item_id in engine.sure_ids
        and unit.idle_s >= idle_s
        and anchor is not None
        and anchor.upstream_id != engine.upstream_id
        and len(view.replicas(unit.base.item_id)) > unit.min_replicas
    )

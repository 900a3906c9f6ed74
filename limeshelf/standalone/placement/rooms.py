"""Questions about engines and the moves that make place on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.config.items import Item, model_of
from limeshelf.standalone.placement.view import Move, MoveKind

if TYPE_CHECKING:
    from limeshelf.standalone.placement.view import PlacementView, RoomView, UnitView


def ready_room(unit: UnitView, view: PlacementView) -> RoomView | None:
    """Return an own engine on which the whole unit is surely ready."""
    wanted = {item.item_id for item in unit.items}
    holders = [room for room in view.replicas(unit.base.item_id) if room.own]
    ready = [room for room in holders if wanted <= room.sure_ids]
    return min(ready, key=lambda r: (r.load, r.upstream_id), default=None)


def roomiest(unit: UnitView, view: PlacementView, reserved: dict[str, int]) -> RoomView | None:
    """Return the own engine with the most free memory that the whole unit fits."""
    fitting = [
        room
        for room in view.own_rooms
        if room.free_bytes - reserved.get(room.upstream_id, 0) >= unit.total_bytes
    ]
    return max(
        fitting,
        key=lambda r: (r.free_bytes - reserved.get(r.upstream_id, 0), r.upstream_id),
        default=None,
    )


def reserve(unit: UnitView, room: RoomView, reserved: dict[str, int]) -> None:
    """Count the missing bytes of *unit* on *room* for the rest of the round."""
    missing = [item for item in unit.items if item.item_id not in room.possible_ids]
    missing_bytes = sum(item.total_bytes for item in missing)
    reserved[room.upstream_id] = reserved.get(room.upstream_id, 0) + missing_bytes


def load_somewhere(
    unit: UnitView, view: PlacementView, reserved: dict[str, int], reason: str
) -> list[Move]:
    """Return loads of *unit* on a further own engine, or the unloads they need first."""
    lacking = [r for r in view.own_rooms if unit.base.item_id not in r.possible_ids]
    narrowed = attrs.evolve(view, rooms={room.upstream_id: room for room in lacking})
    room = roomiest(unit, narrowed, reserved)
    if room is not None:
        reserve(unit, room, reserved)
        return loads_on(unit, room, list(unit.items), reason)
    for candidate in sorted(lacking, key=lambda r: (r.load, r.upstream_id)):
        unloads = eviction_moves(unit, candidate, view, unit.total_bytes, reserved)
        if unloads:
            return unloads
    return []


def loads_on(unit: UnitView, room: RoomView, items: list[Item], reason: str) -> list[Move]:
    """Return the loads that can start now: an adapter waits for its base."""
    return [
        Move(MoveKind.LOAD, unit.model, room.upstream_id, item, reason)
        for item in items
        if not item.base_id or item.base_id in room.sure_ids
    ]


def eviction_moves(
    unit: UnitView,
    room: RoomView,
    view: PlacementView,
    needed_bytes: int,
    reserved: dict[str, int],
    idle_s: float = 0.0,
) -> list[Move]:
    """Return unloads of further replicas on *room* that free *needed_bytes*.

    :param idle_s: replicas used more recently are left alone.
    :return: no moves when that would not be enough.
    """
    short_bytes = needed_bytes - room.free_bytes + reserved.get(room.upstream_id, 0)
    moves: list[Move] = []
    for item_id in _old_spares(room, view):
        if short_bytes <= 0:
            break
        item = Item(item_id, '', 0, 0)
        moves.append(Move(MoveKind.UNLOAD, model_of(item_id), room.upstream_id, item, 'evict-old'))
        short_bytes -= room.held_bytes.get(item_id, 0)
    for other in sorted(view.units.values(), key=lambda u: (-u.idle_s, u.model)):
        if short_bytes <= 0:
            break
        if other.model == unit.model or not _is_spare(other, room, view, idle_s):
            continue
        for item in reversed(other.items):
            if item.item_id in room.possible_ids:
                moves.append(Move(MoveKind.UNLOAD, other.model, room.upstream_id, item, 'evict'))
                short_bytes -= item.total_bytes
    return moves if short_bytes <= 0 else []


def _old_spares(room: RoomView, view: PlacementView) -> list[str]:
    """Return old versions on *room* that their anchors hold too, adapters first."""
    found = []
    for item_id in sorted(room.sure_ids, reverse=True):
        unit = view.units.get(model_of(item_id))
        if unit is None or any(item.item_id == item_id for item in unit.items):
            continue
        anchor = view.anchors.get(unit.model)
        if anchor is None or anchor.upstream_id == room.upstream_id:
            continue
        if any(r.upstream_id == anchor.upstream_id for r in view.replicas(item_id)):
            found.append(item_id)
    return found


def _is_spare(unit: UnitView, room: RoomView, view: PlacementView, idle_s: float) -> bool:
    anchor = view.anchors.get(unit.model)
    return (
        unit.base.item_id in room.sure_ids
        and unit.idle_s >= idle_s
        and anchor is not None
        and anchor.upstream_id != room.upstream_id
        and len(view.replicas(unit.base.item_id)) > unit.min_replicas
    )

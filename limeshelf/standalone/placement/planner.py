"""Turns a view into moves: the rules every placement keeps, then the policy's wishes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.config.items import Item, model_of, unversioned
from limeshelf.standalone.placement.rooms import (
    eviction_moves,
    load_somewhere,
    loads_on,
    ready_room,
    reserve,
    roomiest,
)
from limeshelf.standalone.placement.view import Move, MoveKind

if TYPE_CHECKING:
    from limeshelf.standalone.placement.policies import PlacementPolicy
    from limeshelf.standalone.placement.view import AnchorView, PlacementView, RoomView, UnitView

#: A data centre waits this long for each one that ranks before it for a model
#: that is placed nowhere.
RANK_PAUSE_S = 2.0


@attrs.define
class Planner:
    """Plans the moves of one data centre.

    :param policy: asks for replicas beyond those that must be.
    """

    policy: PlacementPolicy
    _unplaced_since_s: dict[str, float] = attrs.field(factory=dict)

    def plan(self, view: PlacementView) -> list[Move]:
        """Return the moves to make now, the most urgent first."""
        moves: list[Move] = []
        reserved: dict[str, int] = {}
        units = sorted(view.units.values(), key=lambda u: (-u.total_bytes, u.model))
        for unit in units:
            moves += self._anchor_moves(unit, view, reserved)
        for unit in units:
            moves += _minimum_moves(unit, view, reserved)
            moves += _completion_moves(unit, view)
        moves += _removal_moves(view)
        moves += self.policy.propose(view)
        return moves

    def _anchor_moves(
        self, unit: UnitView, view: PlacementView, reserved: dict[str, int]
    ) -> list[Move]:
        anchor = view.anchors.get(unit.model)
        if anchor is None:
            return self._first_anchor(unit, view, reserved)
        self._unplaced_since_s.pop(unit.model, None)
        room = view.rooms.get(anchor.upstream_id)
        if anchor.data_centre != view.data_centre:
            return _take_over(unit, anchor, view, reserved)
        if room is None or not room.open:
            return _replace_anchor(unit, anchor, view, reserved)
        return _anchor_loads(unit, room, view, reserved)

    def _first_anchor(
        self, unit: UnitView, view: PlacementView, reserved: dict[str, int]
    ) -> list[Move]:
        since_s = self._unplaced_since_s.setdefault(unit.model, view.now_s)
        if view.now_s - since_s < view.ranks.get(unit.model, 0) * RANK_PAUSE_S:
            return []
        room = ready_room(unit, view) or roomiest(unit, view, reserved)
        if room is None:
            return []
        reserve(unit, room, reserved)
        return [Move(MoveKind.ANCHOR, unit.model, room.upstream_id, unit.base, 'first')]


def _take_over(
    unit: UnitView, anchor: AnchorView, view: PlacementView, reserved: dict[str, int]
) -> list[Move]:
    """Take the anchor of another data centre that asks for it or is out of sight."""
    if not (anchor.handoff or anchor.lost):
        return []
    ready = ready_room(unit, view)
    if ready is not None:
        return [Move(MoveKind.ANCHOR, unit.model, ready.upstream_id, unit.base, 'take-over')]
    if view.possible_own(unit.base.item_id):
        return []
    return load_somewhere(unit, view, reserved, 'take-over')


def _replace_anchor(
    unit: UnitView, anchor: AnchorView, view: PlacementView, reserved: dict[str, int]
) -> list[Move]:
    """Move an anchor off an own engine that is gone, leaving or drained."""
    ready = ready_room(unit, view)
    if ready is not None:
        return [Move(MoveKind.ANCHOR, unit.model, ready.upstream_id, unit.base, 'replace')]
    if view.possible_own(unit.base.item_id):
        return []
    loads = load_somewhere(unit, view, reserved, 'replace')
    if loads or anchor.handoff:
        return loads
    return [Move(MoveKind.HANDOFF, unit.model, anchor.upstream_id, unit.base, 'no-room')]


def _anchor_loads(
    unit: UnitView, room: RoomView, view: PlacementView, reserved: dict[str, int]
) -> list[Move]:
    """Load what the anchor engine lacks, or move the anchor where it fits."""
    missing = [item for item in unit.items if item.item_id not in room.possible_ids]
    if not missing:
        return []
    missing_bytes = sum(item.total_bytes for item in missing)
    if missing_bytes > room.free_bytes - reserved.get(room.upstream_id, 0):
        unloads = eviction_moves(unit, room, view, missing_bytes, reserved)
        if unloads:
            return unloads
        ready = ready_room(unit, view)
        if ready is not None:
            return [Move(MoveKind.ANCHOR, unit.model, ready.upstream_id, unit.base, 'fit')]
        if not view.possible_own(unit.base.item_id):
            return load_somewhere(unit, view, reserved, 'fit')
        return []
    reserved[room.upstream_id] = reserved.get(room.upstream_id, 0) + missing_bytes
    return loads_on(unit, room, missing, 'anchor')


def _minimum_moves(unit: UnitView, view: PlacementView, reserved: dict[str, int]) -> list[Move]:
    """Ask for the replicas that a deployment must have beside its anchor."""
    anchor = view.anchors.get(unit.model)
    if unit.min_replicas < 2 or anchor is None or view.ranks.get(unit.model, 0) != 0:
        return []
    holders = [r for r in view.rooms.values() if unit.base.item_id in r.possible_ids]
    if len(holders) >= unit.min_replicas:
        return []
    return load_somewhere(unit, view, reserved, 'minimum')


def _completion_moves(unit: UnitView, view: PlacementView) -> list[Move]:
    """Load adapters in use onto further replicas that lack them."""
    anchor = view.anchors.get(unit.model)
    moves: list[Move] = []
    for room in view.replicas(unit.base.item_id):
        if not room.own:
            continue
        if anchor is not None and anchor.upstream_id == room.upstream_id:
            continue
        wanted = unit.used_adapter_ids
        if anchor is not None and (anchor.handoff or anchor.lost):
            # This replica is to become the anchor, so it needs every adapter.
            wanted = frozenset(item.item_id for item in unit.items)
        if anchor is not None and anchor.data_centre == view.data_centre:
            anchor_room = view.rooms.get(anchor.upstream_id)
            if anchor_room is None or not anchor_room.open:
                wanted = frozenset(item.item_id for item in unit.items)
        missing = [
            item
            for item in unit.items[1:]
            if item.item_id in wanted and item.item_id not in room.possible_ids
        ]
        moves += [
            Move(MoveKind.LOAD, unit.model, room.upstream_id, item, 'adapter')
            for item in missing
            if item.total_bytes <= room.free_bytes
        ]
    return moves


def _removal_moves(view: PlacementView) -> list[Move]:
    """Unload what no deployment names, once the new version stands."""
    deployed = {item.item_id: item for unit in view.units.values() for item in unit.items}
    moves: list[Move] = []
    for room in view.own_rooms:
        for item_id in sorted(room.sure_ids - deployed.keys(), reverse=True):
            unit = view.units.get(model_of(item_id))
            if unit is not None and not _is_replaced(item_id, unit, view):
                continue
            moves.append(
                Move(
                    MoveKind.UNLOAD,
                    model_of(item_id),
                    room.upstream_id,
                    Item(item_id, '', 0, 0),
                    'not-deployed',
                )
            )
    return moves


def _is_replaced(item_id: str, unit: UnitView, view: PlacementView) -> bool:
    """Return whether the deployed version of an old item is ready somewhere."""
    wanted = [i.item_id for i in unit.items if unversioned(i.item_id) == unversioned(item_id)]
    if not wanted:
        return True
    whole = all(view.replicas(item.item_id) for item in unit.items)
    return whole and bool(view.replicas(wanted[0]))

"""Plans the moves of a round: first by the rules common to all policies, then by the policy.

Owns the time since when each model has had no anchor; reads only the view of the round.
The rules, in order: each model has an anchor engine that holds all its items; each model has
its minimum number of replicas; replicas hold the adapters in use; items that no deployment
names are unloaded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.config.items import Item, model_of, unversioned
from limeshelf.standalone.placement.capacity import (
    Reservations,
    engine_with_most_free,
    load_on_another_engine,
    loads_on,
    missing_items,
    ready_engine,
    reserve_missing,
)
from limeshelf.standalone.placement.eviction import eviction_moves
from limeshelf.standalone.placement.view import Move, MoveKind

if TYPE_CHECKING:
    from limeshelf.standalone.placement.policies import PlacementPolicy
    from limeshelf.standalone.placement.view import AnchorView, EngineView, PlacementView, UnitView

#: Delay before placing a model without an anchor, for each data centre that ranks before the own
#: one. Four rounds at the default of placer.round_s.
RANK_DELAY_S = 2.0


@attrs.define
class Planner:
    """Plans the moves of one data centre.

    :param policy: proposes replicas beyond the required ones.
    """

    policy: PlacementPolicy
    _unplaced_since_s: dict[str, float] = attrs.field(factory=dict)

    def plan(self, view: PlacementView) -> list[Move]:
        """Return the moves to make now, the most urgent first."""
        moves: list[Move] = []
        reservations = Reservations()
        units = sorted(view.units.values(), key=lambda u: (-u.total_bytes, u.model))
        for unit in units:
            moves += self._anchor_moves(unit, view, reservations)
        for unit in units:
            moves += _minimum_moves(unit, view, reservations)
            moves += _completion_moves(unit, view)
        moves += _removal_moves(view)
        moves += self.policy.propose(view)
        return moves

    def _anchor_moves(
        self, unit: UnitView, view: PlacementView, reservations: Reservations
    ) -> list[Move]:
        anchor = view.anchors.get(unit.model)
        if anchor is None:
            return self._first_anchor(unit, view, reservations)
        self._unplaced_since_s.pop(unit.model, None)
        engine = view.engines.get(anchor.upstream_id)
        if anchor.data_centre != view.data_centre:
            return _take_over(unit, anchor, view, reservations)
        if engine is None or not engine.open:
            return _replace_anchor(unit, anchor, view, reservations)
        return _anchor_loads(unit, engine, view, reservations)

    def _first_anchor(
        self, unit: UnitView, view: PlacementView, reservations: Reservations
    ) -> list[Move]:
        since_s = self._unplaced_since_s.setdefault(unit.model, view.now_s)
        if view.now_s - since_s < view.ranks.get(unit.model, 0) * RANK_DELAY_S:
            return []
        engine = ready_engine(unit, view) or engine_with_most_free(
            unit, view.own_engines, reservations
        )
        if engine is None:
            return []
        reserve_missing(unit, engine, reservations)
        return [Move(MoveKind.ANCHOR, unit.model, engine.upstream_id, unit.base, 'first')]


def _take_over(
    unit: UnitView, anchor: AnchorView, view: PlacementView, reservations: Reservations
) -> list[Move]:
    """Take over an anchor that another data centre hands off or whose engine is lost."""
    if not (anchor.handoff or anchor.lost):
        return []
    ready = ready_engine(unit, view)
    if ready is not None:
        return [Move(MoveKind.ANCHOR, unit.model, ready.upstream_id, unit.base, 'take-over')]
    if view.possible_own(unit.base.item_id):
        return []
    return load_on_another_engine(unit, view, reservations, 'take-over')


def _replace_anchor(
    unit: UnitView, anchor: AnchorView, view: PlacementView, reservations: Reservations
) -> list[Move]:
    """Move an anchor off an own engine that is gone, shutting down or drained."""
    ready = ready_engine(unit, view)
    if ready is not None:
        return [Move(MoveKind.ANCHOR, unit.model, ready.upstream_id, unit.base, 'replace')]
    if view.possible_own(unit.base.item_id):
        return []
    loads = load_on_another_engine(unit, view, reservations, 'replace')
    if loads or anchor.handoff:
        return loads
    return [Move(MoveKind.HANDOFF, unit.model, anchor.upstream_id, unit.base, 'no-room')]


def _anchor_loads(
    unit: UnitView, engine: EngineView, view: PlacementView, reservations: Reservations
) -> list[Move]:
    """Load the items that the anchor engine lacks, or move the anchor if they do not fit."""
    missing = missing_items(unit, engine)
    if not missing:
        return []
    missing_bytes = sum(item.total_bytes for item in missing)
    short_bytes = missing_bytes - reservations.free_bytes(engine)
    if short_bytes > 0:
        unloads = eviction_moves(unit, engine, view, short_bytes)
        if unloads:
            return unloads
        ready = ready_engine(unit, view)
        if ready is not None:
            return [Move(MoveKind.ANCHOR, unit.model, ready.upstream_id, unit.base, 'fit')]
        if not view.possible_own(unit.base.item_id):
            return load_on_another_engine(unit, view, reservations, 'fit')
        return []
    reservations.add(engine, missing_bytes)
    return loads_on(unit, engine, missing, 'anchor')


def _minimum_moves(unit: UnitView, view: PlacementView, reservations: Reservations) -> list[Move]:
    """Load replicas up to the minimum number that the deployment requires."""
    anchor = view.anchors.get(unit.model)
    if unit.min_replicas < 2 or anchor is None or view.ranks.get(unit.model, 0) != 0:
        return []
    holders = [r for r in view.engines.values() if unit.base.item_id in r.possible_ids]
    if len(holders) >= unit.min_replicas:
        return []
    return load_on_another_engine(unit, view, reservations, 'minimum')


def _completion_moves(unit: UnitView, view: PlacementView) -> list[Move]:
    """Load missing adapters onto own replicas other than the anchor, where memory is free."""
    anchor = view.anchors.get(unit.model)
    wanted_ids = _wanted_adapter_ids(unit, anchor, view)
    moves: list[Move] = []
    for engine in view.replicas(unit.base.item_id):
        if not engine.own or (anchor is not None and anchor.upstream_id == engine.upstream_id):
            continue
        moves += [
            Move(MoveKind.LOAD, unit.model, engine.upstream_id, item, 'adapter')
            for item in missing_items(unit, engine)
            if item.item_id in wanted_ids and item.total_bytes <= engine.free_bytes
        ]
    return moves


def _wanted_adapter_ids(
    unit: UnitView, anchor: AnchorView | None, view: PlacementView
) -> frozenset[str]:
    """Return the adapters that replicas of *unit* other than the anchor must hold.

    All adapters if a replica is about to become the anchor, otherwise those in use.
    """
    adapter_ids = frozenset(item.item_id for item in unit.items[1:])
    if anchor is not None and _has_to_move(anchor, view):
        return adapter_ids
    return adapter_ids & unit.used_adapter_ids


def _has_to_move(anchor: AnchorView, view: PlacementView) -> bool:
    """Return whether the anchor must move to another engine."""
    if anchor.handoff or anchor.lost:
        return True
    if anchor.data_centre != view.data_centre:
        return False
    engine = view.engines.get(anchor.upstream_id)
    return engine is None or not engine.open


def _removal_moves(view: PlacementView) -> list[Move]:
    """Unload items that no deployment names, old versions only once the new one is ready."""
    deployed = {item.item_id: item for unit in view.units.values() for item in unit.items}
    moves: list[Move] = []
    for engine in view.own_engines:
        for item_id in sorted(engine.sure_ids - deployed.keys(), reverse=True):
            unit = view.units.get(model_of(item_id))
            if unit is not None and not _is_replaced(item_id, unit, view):
                continue
            moves.append(
                Move(
                    MoveKind.UNLOAD,
                    model_of(item_id),
                    engine.upstream_id,
                    Item(item_id, '', 0, 0),
                    'not-deployed',
                )
            )
    return moves


def _is_replaced(item_id: str, unit: UnitView, view: PlacementView) -> bool:
    """Return whether each item of the deployed version is ready on some engine."""
    wanted = [i.item_id for i in unit.items if unversioned(i.item_id) == unversioned(item_id)]
    if not wanted:
        return True
    whole = all(view.replicas(item.item_id) for item in unit.items)
    return whole and bool(view.replicas(wanted[0]))

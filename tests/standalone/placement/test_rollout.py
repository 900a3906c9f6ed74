"""New versions replace old ones even if redundant replicas of old versions fill all memory."""

from __future__ import annotations

from limeshelf.standalone.config.document import Policy, PolicyKind
from limeshelf.standalone.config.items import Item
from limeshelf.standalone.placement.gate import UnloadGate
from limeshelf.standalone.placement.planner import Planner
from limeshelf.standalone.placement.policies import placement_policies
from limeshelf.standalone.placement.view import (
    AnchorView,
    EngineView,
    MoveKind,
    PlacementView,
    UnitView,
)
from tests.standalone.placement.test_gate import anchored
from tests.support.table import TableFault

SIZE_BYTES = 6


def full_engine(name: str) -> EngineView:
    """Return an engine filled by old versions: one anchored here and one redundant replica."""
    held = {'m@1': SIZE_BYTES, 'n@1': SIZE_BYTES}
    ids = frozenset(held)
    return EngineView(name, 'x', True, True, 2 * SIZE_BYTES, 0, ids, ids, 0.0, held)


def full_view() -> PlacementView:
    units = {
        model: UnitView(model, (Item(f'{model}@2', '', SIZE_BYTES, 1),), 1, 1.0, frozenset(), 0.0)
        for model in 'mn'
    }
    anchors = {
        'm': AnchorView('u0', 'x', False, False),
        'n': AnchorView('u1', 'x', False, False),
    }
    engines = {name: full_engine(name) for name in ('u0', 'u1')}
    return PlacementView(0.0, 'x', units, engines, anchors, {'m': 0, 'n': 0})


def test_redundant_old_replicas_are_evicted_for_new_versions() -> None:
    policy = Policy('even', PolicyKind.PLACEMENT, 'spread')
    planner = Planner(placement_policies.get('spread').from_config(policy))
    moves = planner.plan(full_view())
    unloads = {(m.item.item_id, m.upstream_id) for m in moves if m.kind is MoveKind.UNLOAD}
    assert ('n@1', 'u0') in unloads


def test_gate_allows_unloads_of_old_versions_only_beside_the_anchor() -> None:
    gate = UnloadGate(full_view(), anchored(('u0', TableFault.NONE)))
    assert gate.may_unload('m@1', 'u1')
    assert not gate.may_unload('m@1', 'u0')

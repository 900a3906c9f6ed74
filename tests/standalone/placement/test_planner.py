"""Unit tests of the adapters that replicas other than the anchor get."""

from __future__ import annotations

import pytest

from limeshelf.standalone.config.document import Policy, PolicyKind
from limeshelf.standalone.config.items import Item
from limeshelf.standalone.placement.planner import Planner
from limeshelf.standalone.placement.policies import StaticPlacement
from limeshelf.standalone.placement.view import AnchorView, EngineView, PlacementView, UnitView

BASE = Item('m@1', '', 6, 1)
USED = Item('m@1+a@1', 'm@1', 1, 1)
UNUSED = Item('m@1+b@1', 'm@1', 1, 1)
ITEMS = (BASE, USED, UNUSED)


def engine(name: str, *items: Item, is_open: bool = True, free_bytes: int = 5) -> EngineView:
    held = frozenset(item.item_id for item in items)
    return EngineView(name, 'x', True, is_open, 20, free_bytes, held, held, 0.0)


def adapters_loaded(anchor: AnchorView, *engines: EngineView) -> set[str]:
    """Return the adapters that the planner loads onto ``u1``."""
    unit = UnitView('m', ITEMS, 1, 0.0, frozenset({USED.item_id}), 0.0)
    view = PlacementView(
        0.0, 'x', {'m': unit}, {e.upstream_id: e for e in engines}, {'m': anchor}, {'m': 0}
    )
    planner = Planner(StaticPlacement.from_config(Policy('s', PolicyKind.PLACEMENT, 'static')))
    return {
        move.item.item_id
        for move in planner.plan(view)
        if move.reason == 'adapter' and move.upstream_id == 'u1'
    }


def test_further_replica_gets_the_adapters_in_use() -> None:
    anchor = AnchorView('u0', 'x', False, False)
    assert adapters_loaded(anchor, engine('u0', *ITEMS), engine('u1', BASE)) == {USED.item_id}


def test_replica_without_free_memory_gets_none() -> None:
    anchor = AnchorView('u0', 'x', False, False)
    full = engine('u1', BASE, free_bytes=0)
    assert adapters_loaded(anchor, engine('u0', *ITEMS), full) == set()


@pytest.mark.parametrize(
    'anchor',
    [
        AnchorView('u0', 'y', True, False),
        AnchorView('u0', 'y', False, True),
        AnchorView('u0', 'x', False, False),
    ],
    ids=['handed-over', 'lost', 'own-engine-closed'],
)
def test_replica_that_is_to_become_the_anchor_gets_every_adapter(anchor: AnchorView) -> None:
    closed = engine('u0', *ITEMS, is_open=False)
    loaded = adapters_loaded(anchor, closed, engine('u1', BASE))
    assert loaded == {USED.item_id, UNUSED.item_id}


def test_anchor_of_another_data_centre_that_is_out_of_sight_for_a_moment_changes_nothing() -> None:
    anchor = AnchorView('far', 'y', False, False)
    assert adapters_loaded(anchor, engine('u1', BASE)) == {USED.item_id}

"""Unit tests of the unload gate."""

from __future__ import annotations

import asyncio

from limeshelf.standalone.config.items import Item
from limeshelf.standalone.lease.keeper import LeaderLease
from limeshelf.standalone.placement.anchors import AnchorDirectory
from limeshelf.standalone.placement.gate import UnloadGate
from limeshelf.standalone.placement.view import AnchorView, EngineView, PlacementView, UnitView
from tests.support.table import FakeTable, TableFault

BASE = Item('m@1', '', 6, 1)


def engine(name: str, *items: str) -> EngineView:
    held = frozenset(items)
    return EngineView(name, 'x', True, True, 20, 5, held, held, 0.0)


def view(*engines: EngineView, min_replicas: int = 1) -> PlacementView:
    unit = UnitView('m', (BASE,), min_replicas, 0.0, frozenset(), 0.0)
    anchors = {'m': AnchorView('u0', 'x', False, False)}
    return PlacementView(0.0, 'x', {'m': unit}, {r.upstream_id: r for r in engines}, anchors, {})


def anchored(*moves: tuple[str, TableFault]) -> AnchorDirectory:
    """Return the anchors of a placer after these moves of the anchor of ``m``."""
    table = FakeTable()
    anchors = AnchorDirectory(table, LeaderLease(table, 'x', 'p', 3.0), 'x')

    async def make() -> None:
        await anchors.refresh()
        for upstream_id, fault in moves:
            table.next_faults.append(fault)
            await anchors.put('m', upstream_id)

    asyncio.run(make())
    return anchors


def test_redundant_replica_may_be_unloaded_but_not_the_anchor() -> None:
    seen = view(engine('u0', 'm@1'), engine('u1', 'm@1'))
    gate = UnloadGate(seen, anchored(('u0', TableFault.NONE)))
    assert not gate.may_unload('m@1', 'u0')
    assert gate.may_unload('m@1', 'u1')


def test_replica_that_a_lost_answer_may_have_made_the_anchor_stays() -> None:
    """The write took effect: the anchor is at u1, and the former anchor u0 may unload."""
    seen = view(engine('u0', 'm@1'), engine('u1', 'm@1'))
    anchors = anchored(('u0', TableFault.NONE), ('u1', TableFault.LOST_AFTER))
    assert not UnloadGate(seen, anchors).may_unload('m@1', 'u1')


def test_write_that_is_still_on_its_way_counts_too() -> None:
    seen = view(engine('u0', 'm@1'), engine('u1', 'm@1'))
    anchors = anchored(('u0', TableFault.NONE), ('u1', TableFault.LATE))
    asyncio.run(anchors.refresh())
    assert not UnloadGate(seen, anchors).may_unload('m@1', 'u1')


def test_no_unload_before_the_anchors_were_read() -> None:
    table = FakeTable()
    anchors = AnchorDirectory(table, LeaderLease(table, 'x', 'p', 3.0), 'x')
    seen = view(engine('u0', 'm@1'), engine('u1', 'm@1'))
    assert not UnloadGate(seen, anchors).may_unload('m@1', 'u1')


def test_two_unloads_of_one_round_do_not_count_on_each_other() -> None:
    seen = view(engine('u0', 'm@1'), engine('u1', 'm@1'), engine('u2', 'm@1'), min_replicas=2)
    gate = UnloadGate(seen, anchored(('u0', TableFault.NONE)))
    assert gate.may_unload('m@1', 'u1')
    assert not gate.may_unload('m@1', 'u2')


def test_replica_stays_while_the_anchor_is_not_ready() -> None:
    gate = UnloadGate(
        view(engine('u0'), engine('u1', 'm@1'), engine('u2', 'm@1')),
        anchored(('u0', TableFault.NONE)),
    )
    assert not gate.may_unload('m@1', 'u1')

"""Configurations that were in force late, on gateways that reached the store all the time.

What users saw: two gateways of one data centre went on serving by configurations that had been
replaced 4 to 8 s before; a route was refused as unknown, another led to its old service.

Order of events: a cut takes a data centre off the store and off all others, or the store is away
for everybody. Gateways that are due to ask the store fail, for all tables that they follow. Then
the store is back. A gateway that comes to ask it first for the table of members is held back for
8 s, since nothing changes there, and keeps all other tables from asking meanwhile.

Cause: while the last call to the store failed, one table at a time tries the store, and a call
that the store holds back counted as such a try until it was answered.

Evidence: of three plays of a cut of 7 s during changes of the configuration, two broke the rule.
Their lines show ``store_reached`` for the members 8.3 and 8.5 s after the cut had ended, and for
the configuration 19 and 21 ms after that; in the third the configuration came first, 0.9 s after
the cut.
"""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from limeshelf.errors import PlatformUnknown
from limeshelf.feeds import store_reach
from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.store_reach import StoreReach
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.util.clock import boottime_s
from tests.support.positions import make_position

#: How long the store holds back a call for the members, and for the configuration.
MEMBERS_WAIT_S = 3.0
CONFIG_WAIT_S = 0.2


@attrs.define
class Store:
    """A store that can be away; it answers a call for changes when there are some, or at its end.

    :ivar failed: tables that were asked for in vain.
    """

    away: bool = True
    version: int = 1
    rows: dict[str, Row] = attrs.field(factory=dict)
    failed: list[str] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, table: str) -> None:
        self.version += 1
        self.rows[table] = Row('key', b'', make_position(self.version))
        self._changed.set()
        self._changed = asyncio.Event()

    async def read(self, table: str) -> Page:
        await self._reach(table)
        return self._page(table, BEGINNING)

    async def changes(self, table: str, after: Position, wait_s: float) -> Page:
        await self._reach(table)
        end_s = boottime_s() + wait_s
        while not self._page(table, after).rows and (left_s := end_s - boottime_s()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        return self._page(table, after)

    async def _reach(self, table: str) -> None:
        await asyncio.sleep(0.002)
        if self.away:
            self.failed.append(table)
            raise PlatformUnknown('store')

    def _page(self, table: str, after: Position) -> Page:
        row = self.rows.get(table)
        rows = (row,) if row is not None and row.position > after else ()
        return Page(rows, make_position(self.version), 0, boottime_s())


class CutOff:
    """Stands for a gateway that hears no peers from a moment on, and asks the store itself."""

    def __init__(self) -> None:
        self.due = asyncio.Event()

    def is_due(self) -> bool:
        return self.due.is_set()

    async def until_due(self) -> None:
        await self.due.wait()

    def spread_s(self) -> float:
        return 0.0


def copy_known_by_peers(table: str, rule: FollowRule) -> TableCopy:
    copy = TableCopy(table, lambda row: None, rule)
    copy.take_update([], make_position(0), make_position(1), 0.0)
    return copy


async def until(condition: Any, limit_s: float) -> float:
    """Return how long it took until a condition held, or the limit."""
    began_s = boottime_s()
    while not condition() and boottime_s() - began_s < limit_s:
        await asyncio.sleep(0.01)
    return boottime_s() - began_s


def test_table_that_is_held_back_keeps_no_other_from_asking(monkeypatch: Any) -> None:
    monkeypatch.setattr(store_reach, 'equal_jitter_s', lambda attempt, base_s, limit_s: 0.01)

    async def play() -> float:
        store, polling, reach = Store(), CutOff(), StoreReach()
        members = copy_known_by_peers('members', FollowRule(wait_s=MEMBERS_WAIT_S))
        config = copy_known_by_peers('op', FollowRule(wait_s=CONFIG_WAIT_S))
        # The members are first in the queue for the store.
        followers = [
            TableFollower(copy, store, polling, reach)  # type: ignore[arg-type]
            for copy in (members, config)
        ]
        polling.due.set()
        tasks = [asyncio.create_task(follower.run()) for follower in followers]
        await until(lambda: {'members', 'op'} <= set(store.failed), 1.0)
        # Peers bring what changed, as they do to a gateway that is due; only the store is away.
        for copy in (members, config):
            copy.take_update([], make_position(0), make_position(1), 0.0)
        store.away = False
        store.put('op')
        took_s = await until(lambda: config.rows(), MEMBERS_WAIT_S + 1.0)
        for task in tasks:
            task.cancel()
        return took_s

    took_s = asyncio.run(play())
    assert took_s < 0.5

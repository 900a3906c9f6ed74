"""Configurations must not become active late because the store holds a call for another table.

Failure: two gateways of one data centre served by configurations that had been replaced 4 to 8 s
before; one route was refused as unknown, another led to its old service.

How it comes about: gateways that are due to poll the store fail for all tables that they follow,
because a partition isolates their data centre or the store is unavailable. After a failure only
one table at a time calls the store, as a probe. If the probe was a call for changes of the
members table, the store, once available again, held it for 8 s, since nothing changed there, and
the other tables were blocked until then. The store must therefore answer a probe at once.

Two of three partitions of 7 s during changes of the configuration caused it: the event log has
``store_reached`` for the members 8.3 and 8.5 s after the partition ended, and for the
configuration 19 and 21 ms after that. After the third partition the configuration was polled
first, 0.9 s after its end.
"""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from limeshelf.errors import PlatformUnknown
from limeshelf.feeds import store_backoff
from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.store_backoff import StoreBackoff
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.util.clock import boottime_s
from tests.support.positions import make_position, make_range

#: How long the store may hold a call for changes of the members, and of the configuration.
MEMBERS_WAIT_S = 3.0
CONFIG_WAIT_S = 0.2


@attrs.define
class Store:
    """A store that can be unavailable, and holds calls for changes until there are some.

    :ivar failed: tables for which a call failed.
    """

    is_unavailable: bool = True
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
        await self._connect(table)
        return self._page(table, BEGINNING)

    async def changes(self, table: str, after: Position, wait_s: float) -> Page:
        await self._connect(table)
        end_s = boottime_s() + wait_s
        while not self._page(table, after).rows and (left_s := end_s - boottime_s()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        return self._page(table, after)

    async def _connect(self, table: str) -> None:
        await asyncio.sleep(0.002)
        if self.is_unavailable:
            self.failed.append(table)
            raise PlatformUnknown('store')

    def _page(self, table: str, after: Position) -> Page:
        row = self.rows.get(table)
        rows = (row,) if row is not None and row.position > after else ()
        return Page(rows, make_position(self.version), 0, boottime_s())


class IsolatedGateway:
    """Polling decisions of a gateway that becomes isolated, and polls the store from then on."""

    def __init__(self) -> None:
        self.due = asyncio.Event()

    def is_due(self) -> bool:
        return self.due.is_set()

    async def until_due(self) -> None:
        await self.due.wait()

    def spread_s(self) -> float:
        return 0.0


def copy_updated_by_peer(table: str, rule: FollowRule) -> TableCopy:
    copy = TableCopy(table, lambda row: None, rule)
    copy.apply_update([], make_range(0, 1), 0.0)
    return copy


async def until(condition: Any, limit_s: float) -> float:
    """Wait until a condition holds, or for the limit; return how long it took."""
    began_s = boottime_s()
    while not condition() and boottime_s() - began_s < limit_s:
        await asyncio.sleep(0.01)
    return boottime_s() - began_s


def test_held_call_for_one_table_does_not_block_another(monkeypatch: Any) -> None:
    monkeypatch.setattr(store_backoff, 'equal_jitter_s', lambda attempt, base_s, limit_s: 0.01)

    async def scenario() -> float:
        store, polling, backoff = Store(), IsolatedGateway(), StoreBackoff()
        members = copy_updated_by_peer('members', FollowRule(wait_s=MEMBERS_WAIT_S))
        config = copy_updated_by_peer('op', FollowRule(wait_s=CONFIG_WAIT_S))
        # The members table calls the store first.
        followers = [
            TableFollower(copy, store, polling, backoff)  # type: ignore[arg-type]
            for copy in (members, config)
        ]
        polling.due.set()
        tasks = [asyncio.create_task(follower.run()) for follower in followers]
        await until(lambda: {'members', 'op'} <= set(store.failed), 1.0)
        # Peers still send updates, as they do to a gateway that is due; only the store is
        # unavailable.
        for copy in (members, config):
            copy.apply_update([], make_range(0, 1), 0.0)
        store.is_unavailable = False
        store.put('op')
        took_s = await until(lambda: config.rows(), MEMBERS_WAIT_S + 1.0)
        for task in tasks:
            task.cancel()
        return took_s

    took_s = asyncio.run(scenario())
    assert took_s < 0.5

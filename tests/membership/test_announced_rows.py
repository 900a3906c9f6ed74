"""Large rows are announced to other gateways, which read them from the store."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.membership.row_exchange import RowExchange
from limeshelf.membership.row_messages import TableRow, TableUpdate, TableUpdates
from limeshelf.peers.codec import Envelope
from limeshelf.peers.link_budget import BYTES_PER_MBIT, MAX_BROADCAST_S, LinkBudget
from tests.membership.test_row_exchange import Node, exchange, update
from tests.support.positions import make_position

LINK_MBPS = 10.0
RECEIVERS = tuple(f'g{number}' for number in range(2, 26))
#: A configuration of 1,400 routes.
DOCUMENT = b'x' * 330_000
WAIT_LIMIT_S = 5.0


def narrow_exchange(*others: str, link_mbps: float = LINK_MBPS) -> RowExchange:
    gateway = exchange('g1', *others)
    for other in others:
        gateway.members.record_message(other, 'c1')
    gateway.sizes.budget = LinkBudget.from_mbps(link_mbps)
    return gateway


def read_from_store(gateway: RowExchange, value: bytes) -> None:
    copy = gateway.copies['t']
    after = copy.position
    copy.apply_full_read(Page((Row('config', value, make_position(5)),), make_position(7)))
    gateway.broadcast_page(copy, after)


def sent_by(gateway: RowExchange) -> list[tuple[str, TableUpdate]]:
    node: Any = gateway.node
    assert isinstance(node, Node)
    return [
        (address, message.words[0])
        for address, message in node.sent
        if isinstance(message, TableUpdates)
    ]


def announcement(upto: int) -> Envelope:
    sent = TableUpdate('t', upto, upto, 0, [], seen_from=upto, seen_from_era=0, omits_rows=True)
    return Envelope('g2', 'c1', TableUpdates([sent]))


def test_large_rows_do_not_travel_to_each_neighbour_over_a_narrow_link() -> None:
    gateway = narrow_exchange(*RECEIVERS)
    read_from_store(gateway, DOCUMENT)
    sent = sent_by(gateway)
    assert sorted(address for address, _ in sent) == sorted(RECEIVERS)
    size_bytes = sum(len(msgspec.msgpack.encode(one)) for _, one in sent)
    assert size_bytes <= MAX_BROADCAST_S * LINK_MBPS * BYTES_PER_MBIT
    assert all(one.omits_rows and one.after == one.upto == 7 for _, one in sent)


@pytest.mark.parametrize(('value', 'link_mbps'), [(b'small', LINK_MBPS), (DOCUMENT, 0.0)])
def test_rows_that_the_link_has_room_for_are_sent(value: bytes, link_mbps: float) -> None:
    gateway = narrow_exchange(*RECEIVERS, link_mbps=link_mbps)
    read_from_store(gateway, value)
    assert all([row.value for row in one.rows] == [value] for _, one in sent_by(gateway))


def test_announced_rows_are_read_from_the_store_and_not_queried() -> None:
    class Store:
        def __init__(self) -> None:
            self.position = make_position(5)

        async def read(self, table: str) -> Page:
            return Page((), self.position)

        async def changes(self, table: str, after: Position, wait_s: float) -> Page:
            row = Row('config', DOCUMENT, make_position(7))
            return Page((row,), make_position(7))

    async def scenario() -> None:
        gateway = narrow_exchange('g0', 'g2')
        copy = gateway.copies['t']
        store: Any = Store()
        gateway._handle_updates(update(0, 5))
        copy.record_confirmation(1.0)
        assert not gateway.is_due()
        follower = TableFollower(copy, store, gateway, on_page=gateway.broadcast_page)
        running = asyncio.create_task(follower.run())
        await asyncio.sleep(0)
        gateway._handle_updates(announcement(7))
        async with asyncio.timeout(WAIT_LIMIT_S):
            while copy.position < make_position(7):
                await asyncio.sleep(0.01)
        running.cancel()
        node: Any = gateway.node
        assert node.sent == []

    asyncio.run(scenario())


def test_announcement_from_another_centre_is_forwarded_by_the_first_relay() -> None:
    gateway = narrow_exchange('g5')
    gateway.members.add('g9', 'c2', 1.0)
    gateway.members.record_message('g9', 'c2')
    gateway._handle_updates(update(0, 5))
    node: Any = gateway.node
    node.sent.clear()
    envelope = announcement(7)
    gateway._handle_updates(Envelope('g9', 'c2', envelope.message))
    assert [(address, one.omits_rows, one.upto) for address, one in sent_by(gateway)] == [
        ('g5', True, 7)
    ]


def test_announcement_is_a_gap_for_an_earlier_release() -> None:
    """It ignores the additional field, and queries the rows."""
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(announcement(7).message.words[0]))
    gateway = narrow_exchange('g2')
    gateway._handle_updates(update(0, 5, TableRow('a', b'1', 5, False)))
    as_read = msgspec.convert(fields[:-1], TableUpdate)
    gateway._handle_updates(Envelope('g2', 'c1', TableUpdates([as_read])))
    node: Any = gateway.node
    assert [(address, query.versions) for address, query in node.sent] == [('g2', {'t': 5})]


def test_copy_that_has_the_announced_rows_is_confirmed_by_the_announcement() -> None:
    gateway = narrow_exchange('g2')
    gateway._handle_updates(update(0, 7))
    copy: TableCopy = gateway.copies['t']
    copy.confirmed_s = 0.0
    gateway._handle_updates(announcement(7))
    assert not copy.is_stale
    assert not copy.lacks_announced_rows

"""Heartbeats of replicas are not passed on, all other changes of their rows are."""

from __future__ import annotations

import json
from typing import Any

import pytest

from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.membership.row_conversion import row_bytes
from limeshelf.peers.codec import Envelope
from limeshelf.platform.replicas import REPLICA_TABLE, is_heartbeat
from tests.membership.test_announced_rows import sent_by
from tests.membership.test_row_exchange import exchange
from tests.support.positions import make_position

FIELDS: dict[str, Any] = {
    'Service': 'lm',
    'Address': '127.0.0.1:80',
    'Zone': 'z1',
    'Slots': 8,
    'State': 'ready',
    'SeqNo': 5,
    'Models': [{'Name': 'm1', 'Adapters': ['a1']}],
    'born': 1000,
}
CHANGES: list[dict[str, Any]] = [
    {'State': 'draining'},
    {'State': 'draining', 'RemainingMs': 900.0},
    {'Models': []},
    {'Slots': 9},
    {'born': 2000},
    {'Version': 'v2'},
]


def value(**changes: Any) -> bytes:
    return json.dumps({**FIELDS, **changes}).encode()


def polled(gateway: Any, copy: TableCopy, version: int, content: bytes) -> Any:
    """Let a gateway poll a row from the store; return the update that it sends."""
    after = copy.position
    position = make_position(version)
    copy.apply_full_read(Page((Row('r-1', content, position),), position))
    gateway.node.sent.clear()
    gateway.broadcast_page(copy, after)
    ((_, sent),) = sent_by(gateway)
    return sent


def gateway_with_copy() -> tuple[Any, TableCopy]:
    gateway = exchange('g1', 'g2')
    gateway.members.record_message('g2', 'c1')
    copy = TableCopy(REPLICA_TABLE, lambda row: None, is_heartbeat=is_heartbeat)
    gateway.copies = {REPLICA_TABLE: copy}
    return gateway, copy


def test_heartbeat_of_a_replica_is_not_sent_to_each_gateway() -> None:
    gateway, copy = gateway_with_copy()
    assert row_bytes(polled(gateway, copy, 5, value())) > 0
    sent = polled(gateway, copy, 6, value(SeqNo=6))
    assert (sent.after, sent.upto, sent.rows) == (5, 6, [])


@pytest.mark.parametrize('change', CHANGES, ids=str)
def test_change_of_a_replica_is_sent_with_a_heartbeat(change: dict[str, Any]) -> None:
    gateway, copy = gateway_with_copy()
    polled(gateway, copy, 5, value())
    polled(gateway, copy, 6, value(SeqNo=6))
    changed = value(SeqNo=7, **change)
    assert [row.value for row in polled(gateway, copy, 7, changed).rows] == [changed]


def test_gateway_that_lacks_a_change_gets_it_with_the_newest_heartbeat() -> None:
    gateway, copy = gateway_with_copy()
    polled(gateway, copy, 5, value())
    polled(gateway, copy, 6, value(SeqNo=6, Slots=9))
    newest = value(SeqNo=7, Slots=9)
    polled(gateway, copy, 7, newest)
    assert [row.value for row in copy.rows_after(make_position(5))] == [newest]
    assert copy.rows_after(make_position(6)) == []


def test_receiver_without_heartbeats_has_the_same_rows() -> None:
    gateway, copy = gateway_with_copy()
    other, other_copy = gateway_with_copy()
    for version, content in enumerate((value(), value(SeqNo=6), value(SeqNo=7)), start=5):
        polled(gateway, copy, version, content)
        _, message = gateway.node.sent[-1]
        other._handle_updates(Envelope('g2', 'c1', message))
    assert other_copy.position == copy.position
    (row,) = other_copy.rows()
    assert is_heartbeat(row.value, value(SeqNo=7))


def test_heartbeat_in_a_later_era_is_a_change() -> None:
    _, copy = gateway_with_copy()
    copy.apply_full_read(Page((Row('r-1', value(), Position(1, 5)),), Position(1, 5)))
    later = Position(2, 3)
    copy.apply_full_read(Page((Row('r-1', value(SeqNo=6), later),), later))
    assert [row.key for row in copy.rows_after(Position(1, 9))] == ['r-1']


@pytest.mark.parametrize('unreadable', [b'', b'7', b'{"Service": 7}'])
def test_unreadable_row_is_no_heartbeat(unreadable: bytes) -> None:
    assert not is_heartbeat(value(), unreadable)
    assert not is_heartbeat(unreadable, value())

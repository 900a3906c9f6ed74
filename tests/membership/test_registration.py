"""A gateway registers itself, also when the store is unavailable at first."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.membership import registration
from limeshelf.membership.leader import LeaderView
from limeshelf.membership.member import MEMBER_TABLE, Member
from limeshelf.membership.members import Members
from limeshelf.membership.messages import GatewayLeaving
from limeshelf.membership.registration import Registration
from limeshelf.peers.codec import Envelope
from tests.support.positions import make_position

#: The row of :func:`make_registration`.
OWN_ROW = b'{"address":"own","data_centre":"c1","weight":0.0}'


class Store:
    """A store whose first writes fail with the given errors."""

    def __init__(self, *errors: Exception) -> None:
        self.errors = list(errors)
        self.keys: list[str] = []
        self.position = make_position(1)

    async def write(
        self, table: str, key: str, value: bytes, expected: Position | None
    ) -> Position:
        if self.errors:
            raise self.errors.pop(0)
        self.keys.append(key)
        return self.position


def make_registration() -> Registration:
    unused: Any = None
    members = Members(Member('own', 'c1'))
    return Registration('g-1', unused, members, LeaderView(members, unused))


def test_row_is_written_when_the_store_is_available(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(registration, 'log_change', lambda event, **fields: lines.append(event))
    monkeypatch.setattr(registration, 'RETRY_BASE_S', 0.0)
    store: Any = Store(PlatformUnavailable('a'), PlatformUnknown('b'))
    asyncio.run(make_registration().write_row(store))
    assert store.keys == ['g-1']
    assert lines == ['member_row_not_written']


def test_row_that_cannot_be_decoded_adds_no_gateway() -> None:
    own_registration = make_registration()
    own_registration.apply_row(Row('g-2', b'{', make_position(3)))
    assert own_registration.members.others() == []


def test_gateway_that_announced_its_shutdown_is_neither_active_nor_leader() -> None:
    own_registration = make_registration()
    own_registration.members.record_message('g2', 'c1')
    own_registration.leader.record_claim('g2', 4)
    own_registration._handle_leaving(Envelope('g2', 'c1', GatewayLeaving('g-2')))
    assert own_registration.members.active() == []
    assert not own_registration.leader.is_active


@pytest.mark.parametrize(
    ('era_of_write', 'left', 'writes'),
    [(1, None, 2), (2, None, 1), (1, b'{"address":"another"}', 2), (1, OWN_ROW, 1)],
    ids=['lost', 'written since', 'older', 'as it is'],
)
def test_row_that_the_store_has_lost_is_written_again(
    era_of_write: int, left: bytes | None, writes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(registration, 'REWRITE_SPREAD_S', 0.0)
    own_registration, store = make_registration(), Store()
    store.position = make_position(50, era_of_write)

    async def run_scenario() -> None:
        written: Any = store
        task = asyncio.create_task(own_registration.keep_row(written))
        await asyncio.sleep(0.01)
        copy = TableCopy(MEMBER_TABLE, lambda row: None)
        copy.apply_full_read(Page((Row('g-1', b'', make_position(50, 1)),), make_position(60, 1)))
        copy.restore_listeners.append(own_registration.rewrite_if_lost)
        rows = () if left is None else (Row('g-1', left, make_position(30, 2)),)
        copy.apply_full_read(Page(rows, make_position(40, 2)))
        await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run_scenario())
    assert len(store.keys) == writes

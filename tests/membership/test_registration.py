"""A gateway makes itself known, also when the store is away at first."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.rows import Row
from limeshelf.membership import registration
from limeshelf.membership.leader import LeaderView
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.messages import GatewayLeaving
from limeshelf.membership.registration import Registration
from limeshelf.peers.codec import Envelope


class Store:
    """Fails with each of its errors once."""

    def __init__(self, *errors: Exception) -> None:
        self.errors = list(errors)
        self.keys: list[str] = []

    async def write(self, table: str, key: str, value: bytes, expected: int | None) -> int:
        if self.errors:
            raise self.errors.pop(0)
        self.keys.append(key)
        return 1


def one() -> Registration:
    unused: Any = None
    members = Members(Member('own', 'c1'))
    return Registration('g-1', unused, members, LeaderView(members, unused))


def test_row_is_written_when_the_store_is_back(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(registration, 'log_change', lambda event, **fields: lines.append(event))
    monkeypatch.setattr(registration, 'RETRY_BASE_S', 0.0)
    store: Any = Store(PlatformUnavailable('a'), PlatformUnknown('b'))
    asyncio.run(one().write_row(store))
    assert store.keys == ['g-1']
    assert lines == ['member_row_not_written']


def test_row_that_cannot_be_read_adds_nobody() -> None:
    made = one()
    made.take_row(Row('g-2', b'{', 3))
    assert made.members.others() == []


def test_gateway_that_stops_is_neither_active_nor_leader() -> None:
    made = one()
    made.members.note_message('g2', 'c1')
    made.leader.note_claim('g2', 4)
    made._take_leaving(Envelope('g2', 'c1', GatewayLeaving('g-2')))
    assert made.members.active() == []
    assert not made.leader.is_active

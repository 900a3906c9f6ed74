"""When the lease may be acquired, with which fence, and when it is renewed."""

from __future__ import annotations

import pytest

from limeshelf.feeds.rows import Page, Row
from limeshelf.lease.leadership import RENEW_SHARE, Term
from limeshelf.lease.row import (
    LEASE_KEY,
    LeaseValue,
    find_row,
    is_free,
    next_fence,
    read_value,
    was_acquired_in,
)
from tests.support.positions import make_position

NOW_MS = 50_000


@pytest.mark.parametrize(
    ('value', 'free'),
    [
        (None, True),
        (LeaseValue('g-2', 8, NOW_MS + 1), False),
        (LeaseValue('g-2', 8, NOW_MS), True),
        (LeaseValue('g-2', 8, 0), True),
        (LeaseValue('g-1', 8, NOW_MS + 1), True),
    ],
    ids=['no row', 'held', 'ended', 'given back', 'own'],
)
def test_lease_is_free_after_its_expiry_or_for_its_holder(
    value: LeaseValue | None, free: bool
) -> None:
    assert is_free(value, NOW_MS, 'g-1') is free


def test_fence_is_above_the_row_and_all_seen_fences() -> None:
    assert next_fence(0, None, make_position(40)) == 1
    assert next_fence(3, LeaseValue('g-2', 8, 0), make_position(40)) == 9
    assert next_fence(9, LeaseValue('g-2', 8, 0), make_position(40)) == 10


def test_fence_of_a_later_era_is_above_all_of_earlier_eras() -> None:
    """Also after the store has lost rows, or a late write has replaced the row."""
    before = next_fence(0, None, make_position(9_000_000, 1))
    after = next_fence(0, LeaseValue('g-2', 3, 0), make_position(5, 2))
    assert before < after
    assert not was_acquired_in(2, LeaseValue('g-2', before, 0))
    assert was_acquired_in(2, LeaseValue('g-2', after, 0))
    assert next_fence(0, LeaseValue('g-1', before, 0), make_position(6, 2)) > after


def test_value_is_decoded_from_its_row() -> None:
    value = LeaseValue('g-1', 2, 7)
    other = Row('else', b'{}', make_position(3))
    row = Row(LEASE_KEY, value.encode(), make_position(4))
    page = Page((other, row), make_position(4), NOW_MS)
    assert find_row(page) is row
    assert read_value, was_acquired_in(row) == value
    assert find_row(Page((other,), make_position(4), NOW_MS)) is None
    assert read_value, was_acquired_in(None) is None


def test_renewal_is_due_after_its_share_of_the_lease() -> None:
    term = Term(1, 100.0, make_position(1))
    assert not term.renewal_is_due(100.0 + RENEW_SHARE * 2.0 - 0.001, 2.0)
    assert term.renewal_is_due(100.0 + RENEW_SHARE * 2.0 + 0.001, 2.0)

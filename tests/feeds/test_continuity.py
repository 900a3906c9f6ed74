"""Which updates extend the copy of a table without a gap."""

from __future__ import annotations

import pytest

from limeshelf.feeds.continuity import Continuity, UpdateRange, continuity_of
from limeshelf.feeds.position import Position
from tests.support.positions import make_position, make_range


@pytest.mark.parametrize(
    ('after', 'upto', 'expected'),
    [
        (5, 9, Continuity.CONTINUES),
        (5, 5, Continuity.CONTINUES),
        (2, 9, Continuity.CONTINUES),
        (2, 4, Continuity.BEHIND),
        (6, 9, Continuity.GAP),
    ],
)
def test_update_continues_copy_only_without_gap(
    after: int, upto: int, expected: Continuity
) -> None:
    assert continuity_of(make_range(after, upto), known=make_position(5)) is expected


@pytest.mark.parametrize(
    ('after', 'upto', 'expected'),
    [
        (make_position(5, 1), make_position(2, 2), Continuity.CONTINUES),
        (make_position(3, 1), make_position(2, 2), Continuity.CONTINUES),
        (make_position(2, 2), make_position(2, 2), Continuity.GAP),
        (make_position(9, 0), make_position(90, 0), Continuity.BEHIND),
    ],
)
def test_versions_of_different_eras_are_not_compared(
    after: Position, upto: Position, expected: Continuity
) -> None:
    update = UpdateRange(after, upto, after)
    assert continuity_of(update, known=make_position(5, 1)) is expected


@pytest.mark.parametrize(
    ('after', 'seen_from', 'expected'),
    [
        (5, 8, Continuity.CONTINUES),
        (3, 5, Continuity.CONTINUES),
        (3, 8, Continuity.GAP),
        (0, 8, Continuity.CONTINUES),
    ],
)
def test_update_of_a_peer_that_skipped_the_position_of_the_copy_does_not_continue_it(
    after: int, seen_from: int, expected: Continuity
) -> None:
    update = make_range(after, 9, seen_from)
    assert continuity_of(update, known=make_position(5)) is expected

"""Which updates of a table continue what is known."""

from __future__ import annotations

import pytest

from limeshelf.feeds.continuity import Continuity, continuity_of


@pytest.mark.parametrize(
    ('after', 'upto', 'found'),
    [
        (5, 9, Continuity.CONTINUES),
        (5, 5, Continuity.CONTINUES),
        (2, 9, Continuity.CONTINUES),
        (2, 4, Continuity.BEHIND),
        (6, 9, Continuity.GAP),
    ],
)
def test_update_continues_a_copy_without_gaps_only(
    after: int, upto: int, found: Continuity
) -> None:
    assert continuity_of(after, upto, known=5) is found

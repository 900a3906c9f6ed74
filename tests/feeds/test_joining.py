"""Which updates of a table continue what is known."""

from __future__ import annotations

import pytest

from limeshelf.feeds.joining import Joint, joint_of


@pytest.mark.parametrize(
    ('after', 'upto', 'joint'),
    [
        (5, 9, Joint.CONTINUES),
        (5, 5, Joint.CONTINUES),
        (2, 9, Joint.CONTINUES),
        (2, 4, Joint.BEHIND),
        (6, 9, Joint.GAP),
    ],
)
def test_update_continues_only_what_it_joins(after: int, upto: int, joint: Joint) -> None:
    assert joint_of(after, upto, known=5) is joint

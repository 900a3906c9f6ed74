"""Who asks the store, and how long the others wait."""

from __future__ import annotations

import pytest

from limeshelf.membership.store_polling import (
    OVERDUE_LIMIT_S,
    OVERDUE_STEP_S,
    overdue_limit_s,
    polls_store,
)


@pytest.mark.parametrize(
    ('is_first_relay', 'overdue_s', 'expected'),
    [
        (True, -1.0, True),
        (False, -1.0, False),
        (False, 2 * OVERDUE_STEP_S, False),
        (False, 2 * OVERDUE_STEP_S + 0.01, True),
    ],
)
def test_store_is_asked_by_the_first_relay_or_when_copies_are_old(
    is_first_relay: bool, overdue_s: float, expected: bool
) -> None:
    polls = polls_store(is_first_relay=is_first_relay, rank=2, overdue_s=overdue_s)
    assert polls is expected


def test_overdue_limit_rises_with_the_rank_up_to_a_limit() -> None:
    assert overdue_limit_s(0) == 0.0
    assert overdue_limit_s(1) < overdue_limit_s(2)
    assert overdue_limit_s(1000) == OVERDUE_LIMIT_S

"""Who tries to take the lease."""

from __future__ import annotations

import pytest

from limeshelf.membership.contention import CONTEND_AFTER_S, may_contend


@pytest.mark.parametrize(
    ('leader_is_active', 'is_first_relay', 'leaderless_s', 'expected'),
    [
        (True, True, 0.0, False),
        (False, True, 0.0, True),
        (False, False, CONTEND_AFTER_S, False),
        (False, False, CONTEND_AFTER_S + 0.1, True),
    ],
)
def test_relays_contend_first(
    leader_is_active: bool, is_first_relay: bool, leaderless_s: float, expected: bool
) -> None:
    contends = may_contend(
        leader_is_active=leader_is_active, is_first_relay=is_first_relay, leaderless_s=leaderless_s
    )
    assert contends is expected

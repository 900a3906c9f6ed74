"""When a gateway tries to acquire the leader's lease."""

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
def test_first_relays_contend_before_other_gateways(
    leader_is_active: bool, is_first_relay: bool, leaderless_s: float, expected: bool
) -> None:
    contends = may_contend(
        leader_is_active=leader_is_active, is_first_relay=is_first_relay, leaderless_s=leaderless_s
    )
    assert contends is expected

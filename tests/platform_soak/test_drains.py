"""Tests that the drain check finds calls to replicas marked as draining."""

from __future__ import annotations

import pytest

from standins.users_platform.replica import ReceivedCall, ReplicaStandIn
from tests.platform_soak.callers import CallRecord
from tests.platform_soak.drains import find_drain_violations
from tests.platform_soak.notices import Observations
from tests.platform_soak.world import PROPAGATION_LIMIT_S, STORE, Drain

CONFIRMED_S = 10.0


@pytest.mark.parametrize(
    ('seen_s', 'restarted_s', 'faults', 'is_broken'),
    [
        (CONFIRMED_S + PROPAGATION_LIMIT_S - 0.1, [], {}, False),
        (CONFIRMED_S + PROPAGATION_LIMIT_S + 0.1, [], {}, True),
        (CONFIRMED_S + PROPAGATION_LIMIT_S + 0.1, [CONFIRMED_S - 1.0], {}, True),
        (CONFIRMED_S + PROPAGATION_LIMIT_S + 0.1, [CONFIRMED_S + 1.0], {}, False),
        (CONFIRMED_S + PROPAGATION_LIMIT_S + 0.1, [], {STORE: [CONFIRMED_S + 1.0]}, False),
        (
            CONFIRMED_S + PROPAGATION_LIMIT_S + 0.1,
            [],
            {STORE: [CONFIRMED_S - 1.0, CONFIRMED_S + 3.0]},
            True,
        ),
        (CONFIRMED_S + PROPAGATION_LIMIT_S + 0.1, [], {'g': [CONFIRMED_S + 1.0]}, False),
        (CONFIRMED_S + PROPAGATION_LIMIT_S + 0.1, [], {'another': [CONFIRMED_S + 1.0]}, True),
    ],
)
def test_calls_to_a_draining_replica(
    seen_s: float, restarted_s: list[float], faults: dict[str, list[float]], is_broken: bool
) -> None:
    replica = ReplicaStandIn('r1')
    replica.restart_times_s = restarted_s
    replica.received_calls = [ReceivedCall('c1', 'POST', '/', {}, b'', at_s=seen_s)]
    observations = Observations({'c1': CallRecord('c1', 'safe', '', gateway='g')}, faults)
    lines = list(find_drain_violations([Drain('r1', CONFIRMED_S)], [replica], observations))
    assert bool(lines) is is_broken

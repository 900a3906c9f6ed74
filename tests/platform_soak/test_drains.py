"""The check finds calls to replicas whose rows say that they leave."""

from __future__ import annotations

import pytest

from standins.users_platform.replica import ReceivedCall, ReplicaStandIn
from tests.platform_soak.callers import Asked
from tests.platform_soak.drains import broken_drains
from tests.platform_soak.needs import Watch
from tests.platform_soak.world import KNOWN_S, STORE, Drain

SAID_S = 10.0


@pytest.mark.parametrize(
    ('seen_s', 'restarted_s', 'struck', 'is_broken'),
    [
        (SAID_S + KNOWN_S - 0.1, [], {}, False),
        (SAID_S + KNOWN_S + 0.1, [], {}, True),
        (SAID_S + KNOWN_S + 0.1, [SAID_S - 1.0], {}, True),
        (SAID_S + KNOWN_S + 0.1, [SAID_S + 1.0], {}, False),
        (SAID_S + KNOWN_S + 0.1, [], {STORE: [SAID_S + 1.0]}, False),
        (SAID_S + KNOWN_S + 0.1, [], {STORE: [SAID_S - 1.0, SAID_S + 3.0]}, True),
        (SAID_S + KNOWN_S + 0.1, [], {'g': [SAID_S + 1.0]}, False),
        (SAID_S + KNOWN_S + 0.1, [], {'another': [SAID_S + 1.0]}, True),
    ],
)
def test_calls_to_a_replica_that_leaves(
    seen_s: float, restarted_s: list[float], struck: dict[str, list[float]], is_broken: bool
) -> None:
    replica = ReplicaStandIn('r1')
    replica.restart_times_s = restarted_s
    replica.received_calls = [ReceivedCall('c1', 'POST', '/', {}, b'', at_s=seen_s)]
    watch = Watch({'c1': Asked('c1', 'safe', '', gateway='g')}, struck)
    lines = list(broken_drains([Drain('r1', SAID_S)], [replica], watch))
    assert bool(lines) is is_broken

"""A short seeded soak, and that its checks find what they look for."""

from __future__ import annotations

import asyncio

import pytest

from standins.users_platform.replica import (
    ReceivedCall,
    ReceivedOrder,
    ReplicaNotices,
    ReplicaStandIn,
    SentNotices,
)
from tests.platform_soak.callers import Asked
from tests.platform_soak.checks import broken_promises
from tests.platform_soak.needs import Watch, broken_needs
from tests.platform_soak.run import soak

WHOLE = b'answer of c1'
EVENTS = b''.join(b'id: %d\ndata: token %d\n\n' % (n, n) for n in range(1, 6))


def test_no_promise_breaks_under_faults() -> None:
    outcome = asyncio.run(soak(seed=7, seconds=5.0, gateways=3))
    assert outcome.broken == []
    assert len(outcome.struck) >= 3
    assert sum(asked.status == 200 for asked in outcome.history) > 50


def judged(asked: Asked, runs: int, **most: int) -> list[str]:
    replica = ReplicaStandIn('r1')
    replica.runs = [asked.call_id] * runs
    for name, value in most.items():
        setattr(replica, name, value)
    return broken_promises([asked], [replica])


@pytest.mark.parametrize(
    ('asked', 'runs', 'word'),
    [
        (Asked('c1', 'unsafe', '', 200, WHOLE, 's.c1'), 2, 'ran 2 times'),
        (Asked('c1', 'stream', 'm1', 503), 1, 'told 503 but ran'),
        (Asked('c1', 'safe', '', 200, WHOLE, 's.c2'), 1, 'answer of another call'),
        (Asked('c1', 'safe', '', 200, WHOLE, 's.c1'), 0, 'never ran'),
        (Asked('c1', 'safe', '', 200, WHOLE[:5], 's.c1'), 1, 'success with'),
        (Asked('c1', 'resume', 'm1', 200, EVENTS + EVENTS[-20:], 's.c1'), 1, 'success with'),
    ],
)
def test_checks_find_broken_calls(asked: Asked, runs: int, word: str) -> None:
    lines = judged(asked, runs)
    assert any(word in line for line in lines), lines


def test_checks_pass_what_is_right() -> None:
    assert judged(Asked('c1', 'unsafe', '', 200, WHOLE, 's.c1'), 1) == []
    assert judged(Asked('c1', 'resume', 'm1', 200, EVENTS, 's.c1'), 2) == []
    assert judged(Asked('c1', 'unsafe', '', 503), 0) == []


def test_checks_find_overcommitted_replicas_and_shared_fences() -> None:
    right = Asked('c1', 'safe', '', 200, WHOLE, 's.c1')
    assert any('3 models' in line for line in judged(right, 1, peak_models=3))
    assert any('3 adapters' in line for line in judged(right, 1, peak_adapters=3))
    replica = ReplicaStandIn('r1')
    replica.orders = [
        ReceivedOrder('load', 'm1', '', 0, 4, 202, holder) for holder in ('g1', 'g2')
    ]
    assert any('fence 4' in line for line in broken_promises([], [replica]))


def test_checks_find_calls_that_a_replica_asked_not_to_get() -> None:
    replica = ReplicaStandIn('r1')
    asked_of = {f'c{n}': Asked(f'c{n}', 'safe', '', gateway='g') for n in range(40)}
    replica.received_calls = [
        ReceivedCall(f'c{n}', 'POST', '/', {}, b'', at_s=n * 0.1) for n in range(40)
    ]
    for needs, status, word in [
        (ReplicaNotices(retry_after_s='3'), 503, 'within its rest'),
        (ReplicaNotices(leaving=True), 200, 'knew that it leaves'),
        (ReplicaNotices(rate_per_s='0.3'), 200, 'names 0.3'),
    ]:
        replica.sent_notices = [
            SentNotices('c0', needs, status, at_s=0.0),
            SentNotices('c39', needs, 200, at_s=3.9),
        ]
        (line,) = broken_needs([replica], Watch(asked_of, {}))
        assert word in line
        assert list(broken_needs([replica], Watch(asked_of, {'g': [0.5]}))) == []

"""A short seeded soak, and tests that the checks detect each kind of violation."""

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
from tests.platform_soak.callers import CallRecord
from tests.platform_soak.checks import find_violations
from tests.platform_soak.notices import Observations, find_notice_violations
from tests.platform_soak.run import soak
from tests.platform_soak.world import Site

BODY = b'answer of c1'
EVENTS = b''.join(b'id: %d\ndata: token %d\n\n' % (n, n) for n in range(1, 6))


@pytest.mark.parametrize('link_mbps', [0.0, 10.0])
def test_no_guarantee_is_violated_under_faults(link_mbps: float) -> None:
    result = asyncio.run(soak(seed=7, seconds=5.0, gateways=3, site=Site(link_mbps)))
    assert result.violations == []
    assert len(result.faults) >= 3
    assert sum(record.status == 200 for record in result.history) > 50


def violations_of(record: CallRecord, runs: int, **most: int) -> list[str]:
    replica = ReplicaStandIn('r1')
    replica.runs = [record.call_id] * runs
    for name, value in most.items():
        setattr(replica, name, value)
    return find_violations([record], [replica])


@pytest.mark.parametrize(
    ('record', 'runs', 'word'),
    [
        (CallRecord('c1', 'unsafe', '', 200, BODY, 's.c1'), 2, 'ran 2 times'),
        (CallRecord('c1', 'stream', 'm1', 503), 1, 'answered 503 but ran'),
        (CallRecord('c1', 'safe', '', 200, BODY, 's.c2'), 1, 'response of another call'),
        (CallRecord('c1', 'safe', '', 200, BODY, 's.c1'), 0, 'never ran'),
        (CallRecord('c1', 'safe', '', 200, BODY[:5], 's.c1'), 1, 'succeeded with'),
        (
            CallRecord('c1', 'resume', 'm1', 200, EVENTS + EVENTS[-20:], 's.c1'),
            1,
            'succeeded with',
        ),
    ],
)
def test_checks_find_broken_calls(record: CallRecord, runs: int, word: str) -> None:
    lines = violations_of(record, runs)
    assert any(word in line for line in lines), lines


def test_checks_accept_correct_calls() -> None:
    assert violations_of(CallRecord('c1', 'unsafe', '', 200, BODY, 's.c1'), 1) == []
    assert violations_of(CallRecord('c1', 'resume', 'm1', 200, EVENTS, 's.c1'), 2) == []
    assert violations_of(CallRecord('c1', 'unsafe', '', 503), 0) == []


def test_checks_find_overcommitted_replicas_and_shared_fences() -> None:
    valid = CallRecord('c1', 'safe', '', 200, BODY, 's.c1')
    assert any('3 models' in line for line in violations_of(valid, 1, peak_models=3))
    assert any('3 adapters' in line for line in violations_of(valid, 1, peak_adapters=3))
    replica = ReplicaStandIn('r1')
    replica.orders = [
        ReceivedOrder('load', 'm1', '', 0, 4, 202, holder) for holder in ('g1', 'g2')
    ]
    assert any('fence 4' in line for line in find_violations([], [replica]))


def test_checks_find_calls_against_a_replica_notice() -> None:
    replica = ReplicaStandIn('r1')
    calls_by_id = {f'c{n}': CallRecord(f'c{n}', 'safe', '', gateway='g') for n in range(40)}
    replica.received_calls = [
        ReceivedCall(f'c{n}', 'POST', '/', {}, b'', at_s=n * 0.1) for n in range(40)
    ]
    for needs, status, word in [
        (ReplicaNotices(retry_after_s='3'), 503, 'during its pause'),
        (ReplicaNotices(leaving=True), 200, 'after its leaving notice'),
        (ReplicaNotices(rate_per_s='0.3'), 200, 'states a limit of 0.3'),
    ]:
        replica.sent_notices = [
            SentNotices('c0', needs, status, at_s=0.0),
            SentNotices('c39', needs, 200, at_s=3.9),
        ]
        (line,) = find_notice_violations([replica], Observations(calls_by_id, {}))
        assert word in line
        assert (
            list(find_notice_violations([replica], Observations(calls_by_id, {'g': [0.5]}))) == []
        )

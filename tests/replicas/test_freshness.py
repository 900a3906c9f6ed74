"""Which heartbeats, reports and peer loads are outdated."""

from __future__ import annotations

import pytest

from limeshelf.replicas.freshness import (
    PEER_LOAD_VALID_S,
    REPORT_VALID_S,
    is_heartbeat_used,
    is_late_heartbeat,
    is_late_report,
    is_peer_load_valid,
)
from limeshelf.replicas.record import ReplicaRecord


def record(heartbeat_number: int, born_ms: int | None = None) -> ReplicaRecord:
    return ReplicaRecord(
        'r', 's', '10.0.0.1:1', 'z1', 4, False, None, (), heartbeat_number, born_ms
    )


def test_heartbeat_sent_before_the_newest_is_late() -> None:
    assert is_late_heartbeat(record(4), record(5))
    assert not is_late_heartbeat(record(5), record(5))
    assert is_late_heartbeat(record(4, born_ms=1), record(5, born_ms=1))


@pytest.mark.parametrize(
    ('reported', 'known', 'no_recent_orders', 'late'),
    [
        (0, None, False, False),
        (3, 3, False, False),
        (2, 3, False, True),
        (2, 3, True, False),
    ],
)
def test_report_from_before_the_last_order_is_late(
    reported: int, known: int | None, no_recent_orders: bool, late: bool
) -> None:
    assert is_late_report(reported, known, no_recent_orders) is late


def test_heartbeat_is_used_when_the_report_has_expired() -> None:
    assert not is_heartbeat_used(REPORT_VALID_S)
    assert is_heartbeat_used(REPORT_VALID_S + 0.01)


def test_load_of_a_peer_expires() -> None:
    assert is_peer_load_valid(PEER_LOAD_VALID_S)
    assert not is_peer_load_valid(PEER_LOAD_VALID_S + 0.01)

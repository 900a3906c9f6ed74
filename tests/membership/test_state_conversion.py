"""Replica states sent by the leader are consistent: contents and order number belong together."""

from __future__ import annotations

from limeshelf.membership.state_conversion import report_from_state, state_from_replica
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.replicas.replica import Replica

HELD = (Holding('m1', frozenset({'a1'})),)
RECORD = ReplicaRecord('e-1', 'lm', '10.0.0.1:80', 'z1', 8, False, None, HELD, 1)


def test_order_number_belongs_to_the_reported_contents() -> None:
    """An order accepted after the report raises the replica's number but not its contents."""
    replica = Replica(RECORD, {'m1': frozenset({'a1'})}, order_number=4)
    replica.report = ReplicaReport(HELD, busy=False, order_number=3)
    assert state_from_replica(replica).order_number == 3
    assert report_from_state(state_from_replica(replica)) == replica.report


def test_replica_without_a_report_has_order_number_zero() -> None:
    assert state_from_replica(Replica(RECORD, {}, order_number=None)).order_number == 0

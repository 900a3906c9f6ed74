"""What the leader tells others of a replica holds together: contents and their number."""

from __future__ import annotations

from limeshelf.membership.state_conversion import report_from_state, state_from_replica
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.replicas.replica import Replica

HELD = (Holding('m1', frozenset({'a1'})),)
RECORD = ReplicaRecord('e-1', 'lm', '10.0.0.1:80', 'z1', 8, False, None, HELD, 1)


def test_number_of_orders_is_that_of_the_contents() -> None:
    """An order that was taken since the report raises the number here, not the contents."""
    replica = Replica(RECORD, {'m1': frozenset({'a1'})}, order_number=4)
    replica.report = ReplicaReport(HELD, busy=False, order_number=3)
    assert state_from_replica(replica).order_number == 3
    assert report_from_state(state_from_replica(replica)) == replica.report


def test_replica_without_a_report_has_taken_no_known_order() -> None:
    assert state_from_replica(Replica(RECORD, {}, order_number=None)).order_number == 0

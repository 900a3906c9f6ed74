"""Cost added to the load of a replica."""

from __future__ import annotations

import pytest

from limeshelf.replicas.health import Failure
from limeshelf.replicas.penalties import with_penalties
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica


@pytest.fixture
def replica() -> Replica:
    return Replica(ReplicaRecord('r0', 'lm', 'ip:0', 'z1', 4, False, None, (), 1), {})


def test_local_replica_without_failures_costs_its_load(replica: Replica) -> None:
    assert with_penalties(0.5, replica, 'z1') == 0.5


def test_other_data_centre_costs_less_than_one_of_thirty_calls(replica: Replica) -> None:
    assert with_penalties(0.5, replica, 'z2') == pytest.approx(0.53)


def test_one_failure_is_tolerated_and_a_second_is_not(replica: Replica) -> None:
    replica.health.record_failure(Failure.REFUSED)
    assert with_penalties(0.0, replica, 'z1') == 0.0
    replica.health.record_failure(Failure.REFUSED)
    assert with_penalties(0.0, replica, 'z1') == pytest.approx(2.0 * (0.2775 - 0.2))

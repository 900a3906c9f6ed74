"""Converts a replica's report to the leader's message format and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.membership.messages import HeldModel, ReplicaState
from limeshelf.replicas.record import Holding, ReplicaReport

if TYPE_CHECKING:
    from limeshelf.replicas.replica import Replica


def state_from_replica(replica: Replica) -> ReplicaState:
    """Return the reported state of a replica, without the models that are being retired.

    The number of orders is the one in the report, even if the replica has accepted further orders
    since. Combined with a newer number, the reported contents would be out of date: a new leader
    that received such a state ordered a load into memory that another load was already filling
    (tests/membership/test_state_conversion.py).
    """
    report = replica.report
    held = [
        HeldModel(model, sorted(adapters))
        for model, adapters in replica.holdings.items()
        if model not in replica.retiring
    ]
    return ReplicaState(
        replica.replica_id,
        report.order_number if report else 0,
        held,
        report.queued if report else 0,
        report.running if report else 0,
        report.memory_used if report else 0,
        replica.leaving or replica.backpressure.leaving,
        replica.known_start.born_ms,
    )


def report_from_state(state: ReplicaState) -> ReplicaReport:
    """Return the report contained in a state from the leader's message."""
    return ReplicaReport(
        holdings=tuple(Holding(held.model, frozenset(held.adapters)) for held in state.held),
        busy=False,
        order_number=state.order_number,
        queued=state.queued,
        running=state.running,
        memory_used=state.memory_used,
        leaving=state.leaving,
        born_ms=state.born_ms,
    )

"""Translates a replica's report into the message of the leader, and back.

Owns nothing; relies on the types of :mod:`limeshelf.replicas` and of the messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.membership.messages import HeldModel, ReplicaState
from limeshelf.replicas.record import Holding, ReplicaReport

if TYPE_CHECKING:
    from limeshelf.replicas.replica import Replica


def state_from_replica(replica: Replica) -> ReplicaState:
    """Return what a replica reported; what is about to go is left out.

    The number of orders is that of the report, although more may have been taken since:
    a successor that joined the newer number to the older contents ordered a load into
    memory that another load was filling (tests/membership/test_states.py).
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
    """Return the report that the leader's message holds."""
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

"""Which of two statements about a replica counts, and for how long a statement counts.

A replica is described by its row (heartbeats, through the store) and by its reports
(when asked, by this process or a peer). Both arrive late and out of order. The rules
have no state; :mod:`limeshelf.replicas.directory` and :mod:`limeshelf.replicas.loads`
apply them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.replicas.record import ReplicaRecord

#: A report goes before heartbeats for this long.
REPORT_LIFE_S = 2.5
#: What a peer has under way counts for this long after it said so.
PEER_LOAD_LIFE_S = 2.0


def is_late_heartbeat(record: ReplicaRecord, newest: ReplicaRecord) -> bool:
    """Return whether a row was written before one that has arrived, at the same start.

    The first row that states a start may count its heartbeats from the beginning.
    """
    states_start_first = newest.born_ms is None and record.born_ms is not None
    return not states_start_first and record.beat_number < newest.beat_number


def is_late_report(order_number: int, known_order_number: int | None, settled: bool) -> bool:
    """Return whether a report describes a time before the last known order.

    :param order_number: orders that the replica had taken when it reported.
    :param known_order_number: orders that it is known to have taken, ``None`` if
        it was never asked.
    :param settled: nothing was ordered there for longer than reports lag. A lower
        number is right then: an order that was counted here did not arrive.
    """
    return not settled and order_number < (known_order_number or 0)


def heartbeat_counts(report_age_s: float) -> bool:
    """Return whether what is held goes by a heartbeat, and not by the report before it.

    A heartbeat may describe a time before a report that arrived earlier; only the
    report has the number of orders that would show it.
    """
    return report_age_s > REPORT_LIFE_S


def peer_load_counts(age_s: float) -> bool:
    """Return whether a peer's calls count as under way.

    A peer that fell silent may have ended, and its calls with it.
    """
    return age_s <= PEER_LOAD_LIFE_S

"""Rules for outdated heartbeats and reports, and for how long reports stay valid.

A replica is described by its row in the store, which each heartbeat updates, and by its reports,
which this process or a peer requests. Both may arrive late and out of order. The rules are
stateless; :mod:`limeshelf.replicas.directory` and :mod:`limeshelf.replicas.loads` apply them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.replicas.record import ReplicaRecord

#: A report takes precedence over heartbeats for this long.
REPORT_VALID_S = 2.5
#: The load reported by a peer is used for this long.
PEER_LOAD_VALID_S = 2.0


def is_late_heartbeat(record: ReplicaRecord, newest: ReplicaRecord) -> bool:
    """Return whether a row is older than the newest one of the same start.

    The first row with a start time may number its heartbeats from the beginning again.
    """
    states_start_first = newest.born_ms is None and record.born_ms is not None
    return not states_start_first and record.heartbeat_number < newest.heartbeat_number


def is_late_report(
    order_number: int, known_order_number: int | None, no_recent_orders: bool
) -> bool:
    """Return whether a report was made before the last known order.

    :param order_number: number of orders that the replica had accepted when it reported.
    :param known_order_number: number of orders that it is known to have accepted; ``None``
        before its first report.
    :param no_recent_orders: the last order is older than the delay of reports. A lower number is
        then correct: an order that was counted here did not reach the replica.
    """
    return not no_recent_orders and order_number < (known_order_number or 0)


def is_heartbeat_used(report_age_s: float) -> bool:
    """Return whether a heartbeat replaces the holdings of the last report.

    A heartbeat may be older than a report that arrived before it. This cannot be detected,
    because only reports contain the number of orders.
    """
    return report_age_s > REPORT_VALID_S


def is_peer_load_valid(age_s: float) -> bool:
    """Return whether the load reported by a peer is still used.

    A peer that no longer reports may have crashed, which ended its calls.
    """
    return age_s <= PEER_LOAD_VALID_S

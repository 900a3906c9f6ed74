"""Judges, by what replicas saw alone, whether gateways kept to what replicas stated to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.users_platform.replica import STATUS_FULL

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standins.users_platform.replica import ReplicaStandIn
    from tests.support.fleet import FleetWorld

#: Calls at a replica that states a rate are counted in windows of this length, in seconds.
WINDOW_S = 4.0
#: A gateway counts from this long after the replica's answer to it, in seconds.
KNOWN_AFTER_S = 0.5
#: A window counts if it ends this long after the first answer that states the rate, in seconds.
AGREED_AFTER_S = 3.0
#: What may come in a window, in units of what the rate allows, and beside that.
TOLERATED_SHARE = 1.5
TOLERATED_CALLS = 5
#: A gateway that heard that a replica leaves may send there for this long, in seconds.
LEAVING_AFTER_S = 2.0
#: Calls that may come from a gateway within the rest that it was asked for.
TOLERATED_IN_REST = 2


def tolerated(rate_per_s: float) -> float:
    """Return how many calls may come in a window at a replica that states a rate."""
    return TOLERATED_SHARE * WINDOW_S * rate_per_s + TOLERATED_CALLS


def most_in_window(world: FleetWorld, replica: ReplicaStandIn) -> int:
    """Return the most calls in a window of gateways that knew of a replica's rate."""
    stated = [one for one in replica.sent_notices if one.notices.rate_per_s is not None]
    told_s: dict[int, float] = {}
    for one in stated:
        told_s.setdefault(world.gateway_of[one.call_id], one.at_s)
    if not stated:
        return 0
    arrivals_s = [
        at_s
        for at_s, number in _arrivals(world, replica)
        if number in told_s and at_s >= told_s[number] + KNOWN_AFTER_S
    ]
    counted_s = stated[0].at_s + AGREED_AFTER_S
    ends_s = [end_s for end_s in arrivals_s if end_s >= counted_s]
    return max(
        (sum(end_s - WINDOW_S < at_s <= end_s for at_s in arrivals_s) for end_s in ends_s),
        default=0,
    )


def arrivals_after_leaving(world: FleetWorld, replica: ReplicaStandIn) -> int:
    """Return how many calls came of gateways that long knew that a replica leaves."""
    told_s: dict[int, float] = {}
    for one in replica.sent_notices:
        if one.notices.leaving:
            told_s.setdefault(world.gateway_of[one.call_id], one.at_s)
    return sum(
        number in told_s and at_s > told_s[number] + LEAVING_AFTER_S
        for at_s, number in _arrivals(world, replica)
    )


def most_in_a_rest(world: FleetWorld, replica: ReplicaStandIn) -> int:
    """Return the most calls of one gateway within a rest that it was asked for."""
    arrivals = list(_arrivals(world, replica))
    most = 0
    for one in replica.sent_notices:
        if one.notices.retry_after_s is None or one.status != STATUS_FULL:
            continue
        number = world.gateway_of[one.call_id]
        begin_s, end_s = one.at_s + KNOWN_AFTER_S, one.at_s + float(one.notices.retry_after_s)
        within = sum(who == number and begin_s <= at_s <= end_s for at_s, who in arrivals)
        most = max(most, within)
    return most


def _arrivals(world: FleetWorld, replica: ReplicaStandIn) -> Iterator[tuple[float, int]]:
    for seen in replica.received_calls:
        yield seen.at_s, world.gateway_of[seen.call_id]

"""Checks from replicas' records whether gateways complied with the replicas' notices.

A notice is a call rate, a retry-after time or a shutdown stated in a response header.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.users_platform.replica import STATUS_FULL

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standins.users_platform.replica import ReplicaStandIn
    from tests.support.fleet import FleetWorld

#: Length of the sliding window in which calls to a rate-limited replica are counted, in seconds.
WINDOW_S = 4.0
#: A gateway must comply from this long after the replica's response to it, in seconds.
COMPLIANCE_DELAY_S = 0.5
#: Only windows that end this long after the first notice of the rate are checked, in seconds;
#: until then, the gateways may not have agreed on their shares.
SHARING_DELAY_S = 3.0
#: Calls tolerated in a window: a multiple of what the rate allows, plus a constant.
TOLERATED_SHARE = 1.5
TOLERATED_CALLS = 5
#: A gateway may still send calls for this long after a replica's shutdown notice, in seconds.
LEAVING_TOLERANCE_S = 2.0
#: Calls tolerated from a gateway within the retry-after time that it was sent.
TOLERATED_CALLS_IN_PAUSE = 2


def tolerated_calls(rate_per_s: float) -> float:
    """Return the number of calls tolerated in a window at a replica that states a rate."""
    return TOLERATED_SHARE * WINDOW_S * rate_per_s + TOLERATED_CALLS


def max_calls_in_window(world: FleetWorld, replica: ReplicaStandIn) -> int:
    """Return the maximum number of calls in a window, from gateways that knew the rate."""
    stated = [one for one in replica.sent_notices if one.notices.rate_per_s is not None]
    notified_s: dict[int, float] = {}
    for one in stated:
        notified_s.setdefault(world.gateway_of[one.call_id], one.at_s)
    if not stated:
        return 0
    arrivals_s = [
        at_s
        for at_s, number in _arrivals(world, replica)
        if number in notified_s and at_s >= notified_s[number] + COMPLIANCE_DELAY_S
    ]
    counted_s = stated[0].at_s + SHARING_DELAY_S
    ends_s = [end_s for end_s in arrivals_s if end_s >= counted_s]
    return max(
        (sum(end_s - WINDOW_S < at_s <= end_s for at_s in arrivals_s) for end_s in ends_s),
        default=0,
    )


def calls_after_leaving_notice(world: FleetWorld, replica: ReplicaStandIn) -> int:
    """Return the number of calls sent too long after a shutdown notice to the same gateway."""
    notified_s: dict[int, float] = {}
    for one in replica.sent_notices:
        if one.notices.leaving:
            notified_s.setdefault(world.gateway_of[one.call_id], one.at_s)
    return sum(
        number in notified_s and at_s > notified_s[number] + LEAVING_TOLERANCE_S
        for at_s, number in _arrivals(world, replica)
    )


def max_calls_in_pause(world: FleetWorld, replica: ReplicaStandIn) -> int:
    """Return the maximum number of calls from one gateway within a retry-after time."""
    arrivals = list(_arrivals(world, replica))
    most = 0
    for one in replica.sent_notices:
        if one.notices.retry_after_s is None or one.status != STATUS_FULL:
            continue
        number = world.gateway_of[one.call_id]
        begin_s, end_s = one.at_s + COMPLIANCE_DELAY_S, one.at_s + float(one.notices.retry_after_s)
        within = sum(sender == number and begin_s <= at_s <= end_s for at_s, sender in arrivals)
        most = max(most, within)
    return most


def _arrivals(world: FleetWorld, replica: ReplicaStandIn) -> Iterator[tuple[float, int]]:
    for seen in replica.received_calls:
        yield seen.at_s, world.gateway_of[seen.call_id]

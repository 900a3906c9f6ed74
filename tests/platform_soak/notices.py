"""Checks that each gateway complied with the replicas' notices, from recorded calls."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import attrs

from standins.users_platform.replica import STATUS_FULL
from tests.support.notices import (
    COMPLIANCE_DELAY_S,
    LEAVING_TOLERANCE_S,
    SHARING_DELAY_S,
    TOLERATED_CALLS_IN_PAUSE,
    WINDOW_S,
    tolerated_calls,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from standins.users_platform.replica import ReceivedCall, ReplicaStandIn, SentNotices
    from tests.platform_soak.callers import CallRecord

#: A gateway is not checked until this long after a fault of its own or of its link to the
#: replica, in seconds.
RECOVERY_AFTER_FAULT_S = 3.0


@attrs.frozen
class Observations:
    """Recorded calls and fault times that the checks use.

    :param calls_by_id: calls by id.
    :param fault_times_s: see :class:`~tests.platform_soak.world.World`.
    """

    calls_by_id: dict[str, CallRecord]
    fault_times_s: dict[str, list[float]]

    def gateway_of(self, call_id: str) -> str:
        """Return the address of the gateway that a call was sent to."""
        record = self.calls_by_id.get(call_id)
        return record.gateway if record is not None else ''

    def had_recent_fault(self, name: str, begin_s: float, end_s: float) -> bool:
        """Return whether a gateway or link had a fault in a period or shortly before it."""
        return self.had_fault(name, begin_s - RECOVERY_AFTER_FAULT_S, end_s)

    def had_fault(self, name: str, begin_s: float, end_s: float) -> bool:
        """Return whether a fault of something began or ended in a period."""
        times = self.fault_times_s.get(name, [])
        return bisect.bisect(times, end_s) > bisect.bisect(times, begin_s)

    def is_conclusive(self, replica: ReplicaStandIn, seen: ReceivedCall, since_s: float) -> bool:
        """Return whether no recent fault excuses the gateway for sending a call."""
        gateway = self.gateway_of(seen.call_id)
        return not (
            self.had_recent_fault(gateway, since_s, seen.at_s)
            or self.had_recent_fault(replica.replica_id, seen.at_s, seen.at_s)
        )


def find_notice_violations(
    replicas: list[ReplicaStandIn], observations: Observations
) -> Iterator[str]:
    """Yield one line for each notice of a replica that a gateway did not comply with."""
    for replica in replicas:
        yield from _pause_violations(replica, observations)
        yield from _leaving_violations(replica, observations)
        yield from _rate_violations(replica, observations)


def _pause_violations(replica: ReplicaStandIn, observations: Observations) -> Iterator[str]:
    for stated in replica.sent_notices:
        if stated.notices.retry_after_s is None or stated.status != STATUS_FULL:
            continue
        gateway = observations.gateway_of(stated.call_id)
        begin_s = stated.at_s + COMPLIANCE_DELAY_S
        end_s = min(
            stated.at_s + float(stated.notices.retry_after_s), replica.next_restart_s(stated.at_s)
        )
        within = [
            seen
            for seen in replica.received_calls
            if begin_s <= seen.at_s <= end_s
            and observations.gateway_of(seen.call_id) == gateway
            and observations.is_conclusive(replica, seen, stated.at_s)
        ]
        if len(within) > TOLERATED_CALLS_IN_PAUSE:
            yield f'{replica.replica_id}: {len(within)} calls from {gateway} during its pause'


def _leaving_violations(replica: ReplicaStandIn, observations: Observations) -> Iterator[str]:
    for stated in _first_per_gateway(replica, observations, lambda one: one.notices.leaving):
        gateway = observations.gateway_of(stated.call_id)
        end_s = replica.next_restart_s(stated.at_s)
        late = [
            seen
            for seen in replica.received_calls
            if stated.at_s + LEAVING_TOLERANCE_S < seen.at_s < end_s
            and observations.gateway_of(seen.call_id) == gateway
            and observations.is_conclusive(replica, seen, stated.at_s)
        ]
        if late:
            count = len(late)
            yield f'{replica.replica_id}: {count} calls from {gateway} after its leaving notice'


def _rate_violations(replica: ReplicaStandIn, observations: Observations) -> Iterator[str]:
    """Check each period in which all responses state the same valid rate."""
    period: list[SentNotices] = []
    for stated in [*replica.sent_notices, None]:
        rate = stated.notices.rate_per_s if stated is not None else None
        if period and rate != period[0].notices.rate_per_s:
            yield from _rate_period_violations(replica, period, observations)
            period = []
        if stated is not None and rate not in (None, 'nan'):
            period.append(stated)


def _rate_period_violations(
    replica: ReplicaStandIn, period: list[SentNotices], observations: Observations
) -> Iterator[str]:
    rate_per_s = float(period[0].notices.rate_per_s or 0.0)
    notified_s: dict[str, float] = {}
    for stated in period:
        notified_s.setdefault(observations.gateway_of(stated.call_id), stated.at_s)
    times = [
        seen.at_s
        for seen in replica.received_calls
        if (at_s := notified_s.get(observations.gateway_of(seen.call_id))) is not None
        and at_s + COMPLIANCE_DELAY_S <= seen.at_s <= period[-1].at_s
        and observations.is_conclusive(replica, seen, seen.at_s)
    ]
    for end_s in times:
        count = sum(end_s - WINDOW_S < one <= end_s for one in times)
        if end_s >= period[0].at_s + SHARING_DELAY_S and count > tolerated_calls(rate_per_s):
            yield (
                f'{replica.replica_id}: {count} calls in {WINDOW_S:.0f} s, '
                f'states a limit of {rate_per_s}/s'
            )
            return


def _first_per_gateway(
    replica: ReplicaStandIn, observations: Observations, predicate: Callable[[SentNotices], bool]
) -> list[SentNotices]:
    first: dict[tuple[str, float], SentNotices] = {}
    for stated in replica.sent_notices:
        if predicate(stated):
            start_s = replica.next_restart_s(stated.at_s)
            first.setdefault((observations.gateway_of(stated.call_id), start_s), stated)
    return list(first.values())

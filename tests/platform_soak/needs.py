"""Whether each gateway kept to what replicas stated to it, by what replicas and callers saw."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import attrs

from standins.users_platform.replica import STATUS_FULL
from tests.support.needs import (
    AGREED_AFTER_S,
    KNOWN_AFTER_S,
    LEAVING_AFTER_S,
    TOLERATED_IN_REST,
    WINDOW_S,
    tolerated,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from standins.users_platform.replica import ReceivedCall, ReplicaStandIn, SentNotices
    from tests.platform_soak.callers import Asked

#: A gateway that was struck, or whose way to the replica was, is judged again after this time, in
#: seconds.
IN_TOUCH_AFTER_S = 3.0


@attrs.frozen
class Watch:
    """What the checks go by.

    :param asked_of: calls by id.
    :param struck_s: see :class:`~tests.platform_soak.world.World`.
    """

    asked_of: dict[str, Asked]
    struck_s: dict[str, list[float]]

    def gateway_of(self, call_id: str) -> str:
        """Return the address of the gateway at which a call was made."""
        asked = self.asked_of.get(call_id)
        return asked.gateway if asked is not None else ''

    def is_excused(self, name: str, begin_s: float, end_s: float) -> bool:
        """Return whether a gateway or a link was struck in a time, or shortly before."""
        return self.is_struck(name, begin_s - IN_TOUCH_AFTER_S, end_s)

    def is_struck(self, name: str, begin_s: float, end_s: float) -> bool:
        """Return whether something was struck, or came back, in a time."""
        times = self.struck_s.get(name, [])
        return bisect.bisect(times, end_s) > bisect.bisect(times, begin_s)

    def is_judged(self, replica: ReplicaStandIn, seen: ReceivedCall, since_s: float) -> bool:
        """Return whether a call that came to a replica says something of its gateway."""
        gateway = self.gateway_of(seen.call_id)
        return not (
            self.is_excused(gateway, since_s, seen.at_s)
            or self.is_excused(replica.replica_id, seen.at_s, seen.at_s)
        )


def broken_needs(replicas: list[ReplicaStandIn], watch: Watch) -> Iterator[str]:
    """Yield one line for each statement of a replica that was not kept to."""
    for replica in replicas:
        yield from _of_rests(replica, watch)
        yield from _of_leaving(replica, watch)
        yield from _of_rates(replica, watch)


def _of_rests(replica: ReplicaStandIn, watch: Watch) -> Iterator[str]:
    for stated in replica.sent_notices:
        if stated.notices.retry_after_s is None or stated.status != STATUS_FULL:
            continue
        gateway = watch.gateway_of(stated.call_id)
        begin_s = stated.at_s + KNOWN_AFTER_S
        end_s = min(
            stated.at_s + float(stated.notices.retry_after_s), replica.next_restart_s(stated.at_s)
        )
        within = [
            seen
            for seen in replica.received_calls
            if begin_s <= seen.at_s <= end_s
            and watch.gateway_of(seen.call_id) == gateway
            and watch.is_judged(replica, seen, stated.at_s)
        ]
        if len(within) > TOLERATED_IN_REST:
            yield f'{replica.replica_id}: {len(within)} calls of {gateway} within its rest'


def _of_leaving(replica: ReplicaStandIn, watch: Watch) -> Iterator[str]:
    for stated in _first_of_each_gateway(replica, watch, lambda one: one.notices.leaving):
        gateway = watch.gateway_of(stated.call_id)
        end_s = replica.next_restart_s(stated.at_s)
        late = [
            seen
            for seen in replica.received_calls
            if stated.at_s + LEAVING_AFTER_S < seen.at_s < end_s
            and watch.gateway_of(seen.call_id) == gateway
            and watch.is_judged(replica, seen, stated.at_s)
        ]
        if late:
            count = len(late)
            yield f'{replica.replica_id}: {count} calls of {gateway}, which knew that it leaves'


def _of_rates(replica: ReplicaStandIn, watch: Watch) -> Iterator[str]:
    """Judge each stretch of time in which all answers name one usable rate."""
    stretch: list[SentNotices] = []
    for stated in [*replica.sent_notices, None]:
        rate = stated.notices.rate_per_s if stated is not None else None
        if stretch and rate != stretch[0].notices.rate_per_s:
            yield from _of_rate(replica, stretch, watch)
            stretch = []
        if stated is not None and rate not in (None, 'nan'):
            stretch.append(stated)


def _of_rate(replica: ReplicaStandIn, stretch: list[SentNotices], watch: Watch) -> Iterator[str]:
    rate_per_s = float(stretch[0].notices.rate_per_s or 0.0)
    told_s: dict[str, float] = {}
    for stated in stretch:
        told_s.setdefault(watch.gateway_of(stated.call_id), stated.at_s)
    times = [
        seen.at_s
        for seen in replica.received_calls
        if (at_s := told_s.get(watch.gateway_of(seen.call_id))) is not None
        and at_s + KNOWN_AFTER_S <= seen.at_s <= stretch[-1].at_s
        and watch.is_judged(replica, seen, seen.at_s)
    ]
    for end_s in times:
        count = sum(end_s - WINDOW_S < one <= end_s for one in times)
        if end_s >= stretch[0].at_s + AGREED_AFTER_S and count > tolerated(rate_per_s):
            yield f'{replica.replica_id}: {count} calls in {WINDOW_S:.0f} s, names {rate_per_s}'
            return


def _first_of_each_gateway(
    replica: ReplicaStandIn, watch: Watch, states: Callable[[SentNotices], bool]
) -> list[SentNotices]:
    first: dict[tuple[str, float], SentNotices] = {}
    for stated in replica.sent_notices:
        if states(stated):
            start_s = replica.next_restart_s(stated.at_s)
            first.setdefault((watch.gateway_of(stated.call_id), start_s), stated)
    return list(first.values())

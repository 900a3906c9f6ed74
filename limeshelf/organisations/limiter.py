"""Decides for a data centre whether a call is within the limit of its organisation.

One gateway of each data centre decides for all gateways there. The gateways report their usage
in their digests, a few times a second; the limiter adds what it has granted since the last
report. A second limiter receives the same reports, so when it takes over it lacks only the
grants since the last report. Usage that the limiter cannot know is assumed:

* A gateway may use its own quota without asking, so at least that much is counted for it.
* A gateway that no longer reports is counted with its last report until the window has passed.
* A process that has just started may have had a predecessor that used some of the quota. If
  this limiter received no reports of it, an equal part of the data centre's quota is counted,
  which shrinks as the window passes. The limit thus holds also when all processes start at
  once, while calls at the usual rate are served from the start.

Owns the reports and the grants since. Depends on no other source.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.organisations.window_quotas import WindowQuotas

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.organisations.limits import LimitRule
    from limeshelf.organisations.organisation import UsageLimit

#: Share of a data centre's gateways that must have reported recently for the limiter to decide:
#: gateways that are cut off singly must not each act as the limiter. It is below one half so
#: that the limiter still decides while more than half of all processes are restarted.
MIN_REPORTING_SHARE = 0.25
#: A gateway counts as reporting if its last report is younger than this, which is ten digest
#: periods.
REPORTING_WITHIN_S = 2.5
#: Share of a data centre's quota that the second limiter may grant between two reports, and that
#: the first limiter leaves to it, because neither sees the other's grants before the next report.
#: Calls at the usual rate use 0.02 of the quota in that time.
SECOND_SHARE = 0.05
#: Period at which expired usage is removed and reporting gateways are counted. With 70 gateways
#: a decision took 180 us when this was done for each call and takes 108 us with the period
#: (benchmarks/organisations.py, on a machine under other load).
REFRESH_S = 0.1


class Ruling(enum.StrEnum):
    """The limiter's ruling on a call.

    ``WITHIN``: the call may run; its cost is counted from now on.
    ``OVER``: the call would exceed the limit.
    ``UNKNOWN``: the limiter cannot decide, for example because too few gateways report to it.
    """

    WITHIN = 'within'
    OVER = 'over'
    UNKNOWN = 'unknown'


@attrs.frozen
class Decision:
    """A ruling on a call, with a retry hint.

    :param wait_s: expected time until the call fits within the limit, in seconds, if the ruling
        is ``OVER``; otherwise 0.
    """

    ruling: Ruling
    wait_s: float = 0.0


@attrs.define(eq=False)
class _Gateway:
    """The known usage of one gateway.

    :ivar known_since_s: time since when its usage is known completely.
    :ivar reported_s: time of its latest report, or of its first call if it has not reported.
    :ivar started_ms: start of the process that sent the latest report.
    :ivar used: units used by organisation, from the latest report.
    :ivar granted: units granted by organisation since that report.
    :ivar previous_usage: usage of its earlier processes, each with the time until which it counts.
    """

    known_since_s: float
    reported_s: float
    started_ms: int = 0
    used: dict[str, int] = attrs.field(factory=dict)
    granted: dict[str, int] = attrs.field(factory=dict)
    previous_usage: list[tuple[float, dict[str, int]]] = attrs.field(factory=list)

    def amount(self, organisation: str) -> int:
        """Return the units of an organisation's limit that are counted for the gateway."""
        amount = self.used.get(organisation, 0) + self.granted.get(organisation, 0)
        for _, used in self.previous_usage:
            amount += used.get(organisation, 0)
        return amount

    def begin_process(self, started_ms: int, until_s: float) -> None:
        """Start counting a new process; the usage of the previous one counts until *until_s*."""
        if self.started_ms:
            names = {*self.used, *self.granted}
            used = {name: self.used.get(name, 0) + self.granted.get(name, 0) for name in names}
            self.previous_usage.append((until_s, used))
        self.started_ms = started_ms


@attrs.frozen
class LimitRequest:
    """A request to admit a call whose organisation has a limit.

    :param gateway: peer address of the gateway that received the call.
    :param amount: cost of the call, in units of the limit.
    :param gateways: number of known gateways in the data centre, whether or not they report.
    """

    gateway: str
    organisation: str
    limit: UsageLimit
    amount: int
    gateways: int


class Limiter:
    """Decides for the gateways of one data centre.

    :param listening_since_s: time since when this limiter has received reports.
    """

    def __init__(self, rule: LimitRule, listening_since_s: float) -> None:
        self._rule = rule
        self._listening_since_s = listening_since_s
        self._gateways: dict[str, _Gateway] = {}
        self._quotas = WindowQuotas(rule)
        self._refreshed_s = -math.inf
        self._reporting = 0

    def record_report(
        self, gateway: str, started_ms: int, age_s: float, used: dict[str, int], now_s: float
    ) -> None:
        """Record the usage that a gateway reports.

        :param started_ms: start of the gateway's process, on the clock of its machine.
        :param age_s: time since that start, in seconds.
        :param used: units used in the current window, by organisation.
        """
        record = self._gateways.get(gateway)
        if record is None:
            known_since_s = min(now_s - age_s, self._listening_since_s)
            record = self._gateways[gateway] = _Gateway(known_since_s, now_s, started_ms)
        elif record.started_ms != started_ms:
            record.begin_process(started_ms, record.reported_s + self._rule.window_s)
        elif now_s - record.reported_s >= REPORTING_WITHIN_S:
            # The gateway reports again after a silence: count the reporting gateways anew.
            self._refreshed_s = -math.inf
        record.known_since_s = min(record.known_since_s, now_s - age_s)
        record.used = used
        record.granted = {}
        record.reported_s = now_s

    def decide(self, request: LimitRequest, now_s: float, *, is_first: bool = True) -> Decision:
        """Decide on one call and, if it is within the limit, count it from now on.

        :param is_first: whether this is the first limiter of the data centre; the second is asked
            only by gateways that get no decision from the first.
        """
        self._refresh(now_s)
        if self._reporting < MIN_REPORTING_SHARE * request.gateways:
            return Decision(Ruling.UNKNOWN)
        centre_quota = self._quotas.quota(request.organisation, request.limit, now_s)
        quota = centre_quota * (1 - SECOND_SHARE) if is_first else centre_quota
        used = self._usage_including(request, now_s)
        if used <= quota and not is_first:
            granted_since_report = sum(
                record.granted.get(request.organisation, 0) for record in self._records()
            )
            if granted_since_report + request.amount > centre_quota * SECOND_SHARE:
                return Decision(Ruling.UNKNOWN)
        if used > quota:
            # Assumes that the current usage leaves the window at an even rate.
            share = (used - quota) / max(1.0, used - request.amount)
            return Decision(Ruling.OVER, min(1.0, share) * self._rule.window_s)
        granted = self._record_of(request.gateway, now_s).granted
        granted[request.organisation] = granted.get(request.organisation, 0) + request.amount
        return Decision(Ruling.WITHIN)

    def _records(self) -> Iterable[_Gateway]:
        return self._gateways.values()

    def _record_of(self, gateway: str, now_s: float) -> _Gateway:
        record = self._gateways.get(gateway)
        if record is None:
            record = self._gateways[gateway] = _Gateway(self._listening_since_s, now_s)
        return record

    def _refresh(self, now_s: float) -> None:
        """Remove usage that has left the window and count the reporting gateways.

        Does nothing if the last refresh is younger than the refresh period.
        """
        if now_s - self._refreshed_s < REFRESH_S:
            return
        self._refreshed_s = now_s
        for gateway, record in list(self._gateways.items()):
            if record.previous_usage:
                record.previous_usage = [
                    entry for entry in record.previous_usage if entry[0] > now_s
                ]
            if now_s - record.reported_s > self._rule.window_s:
                del self._gateways[gateway]
        self._reporting = sum(
            now_s - record.reported_s < REPORTING_WITHIN_S for record in self._records()
        )

    def _usage_including(self, request: LimitRequest, now_s: float) -> float:
        """Return the counted usage of the data centre, including the call in question."""
        self._record_of(request.gateway, now_s)
        gateways = max(request.gateways, len(self._gateways))
        own_quota = self._rule.gateway_quota(request.limit, gateways)
        equal_quota = self._rule.centre_quota(request.limit) / gateways
        used = 0.0
        for gateway, record in self._gateways.items():
            unknown_share = self._unknown_share(record.known_since_s, now_s)
            amount = record.amount(request.organisation)
            if gateway == request.gateway:
                amount += request.amount
            used += max(own_quota * (1 - unknown_share), amount) + equal_quota * unknown_share
        # A gateway without a record may use its own quota, and may have used more.
        unknown_share = self._unknown_share(self._listening_since_s, now_s)
        gateways_without_record = gateways - len(self._gateways)
        return used + gateways_without_record * (
            own_quota * (1 - unknown_share) + equal_quota * unknown_share
        )

    def _unknown_share(self, known_since_s: float, now_s: float) -> float:
        """Return the share of the window for which the usage is unknown."""
        return max(0.0, 1.0 - (now_s - known_since_s) / self._rule.window_s)

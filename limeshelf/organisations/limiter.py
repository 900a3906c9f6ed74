"""Decides for a data centre whether an organisation's call lies within its limit.

One gateway of each data centre decides for all gateways there. What they use comes with
their digests, a few times a second; what it granted since counts beside that, so a second
limiter that takes over knows all but the last moment. What it cannot know counts as used:

* a gateway may use its own part without asking, so it counts for that much at least;
* a gateway that fell silent counts for what it last said, until the window has passed;
* a process that started may have had a predecessor that used a part. Where nobody told this
  limiter of it, it counts for an equal part, which shrinks as the window passes. So limits
  hold also when all processes start at once, and calls at the usual rate are served at once.

Owns the reports and what was granted since. Relies on the reports alone.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.organisations.lowered import WindowParts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.organisations.limits import LimitRule
    from limeshelf.organisations.organisation import UsageLimit

#: Share of a data centre's gateways that must be heard to decide for them: machines that are
#: cut off one by one must not each take themselves for the limiter, and the rest go on while
#: more than half of all processes are restarted.
QUORUM_SHARE = 0.25
#: A gateway is heard if it reported within this time; ten digests long.
HEARD_S = 2.5
#: Share of a data centre's part that the second limiter may grant between two reports, and that
#: the first one leaves to it: neither sees before the next report what the other grants. Calls
#: at the usual rate take 0.02 of the part in that time.
SECOND_SHARE = 0.05
#: Who is heard, and what is too old to count, is looked at this often: with that at each call,
#: a decision took 180 us with 70 gateways, and 108 us now (benchmarks/organisations.py, beside
#: other work).
REFRESH_S = 0.1


class Ruling(enum.StrEnum):
    """What the limiter says of a call.

    ``WITHIN``: it may run, and counts from now on.
    ``OVER``: it would exceed the limit.
    ``UNKNOWN``: too few gateways are heard to decide.
    """

    WITHIN = 'within'
    OVER = 'over'
    UNKNOWN = 'unknown'


@attrs.frozen
class Decision:
    """A ruling, and when there is likely room where the call would exceed the limit.

    :param wait_s: in seconds; 0 for another ruling.
    """

    ruling: Ruling
    wait_s: float = 0.0


@attrs.define(eq=False)
class _Gateway:
    """What is known of a gateway's use.

    :ivar known_since_s: from when on all of it is known.
    :ivar heard_s: when its latest report came.
    :ivar started_ms: when the process started that reported last.
    :ivar used: by organisation, as reported last.
    :ivar granted: by organisation, since then.
    :ivar earlier: what processes before it had used, each with the time until which it counts.
    """

    known_since_s: float
    heard_s: float
    started_ms: int = 0
    used: dict[str, int] = attrs.field(factory=dict)
    granted: dict[str, int] = attrs.field(factory=dict)
    earlier: list[tuple[float, dict[str, int]]] = attrs.field(factory=list)

    def amount(self, organisation: str) -> int:
        """Return what it uses of an organisation's limit."""
        amount = self.used.get(organisation, 0) + self.granted.get(organisation, 0)
        for _, used in self.earlier:
            amount += used.get(organisation, 0)
        return amount

    def begin_process(self, started_ms: int, until_s: float) -> None:
        """Note that another process reports; the one before counts until a time."""
        if self.started_ms:
            names = {*self.used, *self.granted}
            used = {name: self.used.get(name, 0) + self.granted.get(name, 0) for name in names}
            self.earlier.append((until_s, used))
        self.started_ms = started_ms


@attrs.frozen
class LimitQuestion:
    """A call whose organisation has a limit.

    :param gateway: peer address of the one that has the call.
    :param amount: what the call counts, in units of the limit.
    :param gateways: that are known in the data centre, whether heard or not.
    """

    gateway: str
    organisation: str
    limit: UsageLimit
    amount: int
    gateways: int


class Limiter:
    """Decides for the gateways of one data centre.

    :param listening_since_s: since when reports have come here.
    """

    def __init__(self, rule: LimitRule, listening_since_s: float) -> None:
        self._rule = rule
        self._listening_since_s = listening_since_s
        self._gateways: dict[str, _Gateway] = {}
        self._parts = WindowParts(rule)
        self._refreshed_s = -math.inf
        self._heard = 0

    def take_report(
        self, gateway: str, started_ms: int, age_s: float, used: dict[str, int], now_s: float
    ) -> None:
        """Take what the process of a gateway says that it uses.

        :param started_ms: when it started, on the clock of its machine.
        :param age_s: time since then, in seconds.
        """
        known = self._gateways.get(gateway)
        if known is None:
            known_since_s = min(now_s - age_s, self._listening_since_s)
            known = self._gateways[gateway] = _Gateway(known_since_s, now_s, started_ms)
        elif known.started_ms != started_ms:
            known.begin_process(started_ms, known.heard_s + self._rule.window_s)
        elif now_s - known.heard_s >= HEARD_S:
            # It is back; who is heard has to be counted anew.
            self._refreshed_s = -math.inf
        known.known_since_s = min(known.known_since_s, now_s - age_s)
        known.used = used
        known.granted = {}
        known.heard_s = now_s

    def decide(self, question: LimitQuestion, now_s: float, *, is_first: bool = True) -> Decision:
        """Decide on one call; what is within the limit counts from now on.

        :param is_first: whether this is the limiter that all should ask, or the one that is
            asked where that one is silent.
        """
        self._refresh(now_s)
        if self._heard < QUORUM_SHARE * question.gateways:
            return Decision(Ruling.UNKNOWN)
        whole_part = self._parts.part(question.organisation, question.limit, now_s)
        part = whole_part * (1 - SECOND_SHARE) if is_first else whole_part
        used = self._used_with(question, now_s)
        if used <= part and not is_first:
            lately = sum(known.granted.get(question.organisation, 0) for known in self._all())
            if lately + question.amount > whole_part * SECOND_SHARE:
                return Decision(Ruling.UNKNOWN)
        if used > part:
            # What is used now leaves the window evenly.
            share = (used - part) / max(1.0, used - question.amount)
            return Decision(Ruling.OVER, min(1.0, share) * self._rule.window_s)
        granted = self._of(question.gateway, now_s).granted
        granted[question.organisation] = granted.get(question.organisation, 0) + question.amount
        return Decision(Ruling.WITHIN)

    def _all(self) -> Iterable[_Gateway]:
        return self._gateways.values()

    def _of(self, gateway: str, now_s: float) -> _Gateway:
        known = self._gateways.get(gateway)
        if known is None:
            known = self._gateways[gateway] = _Gateway(self._listening_since_s, now_s)
        return known

    def _refresh(self, now_s: float) -> None:
        """Forget what has left the window, and count who is heard, now and then."""
        if now_s - self._refreshed_s < REFRESH_S:
            return
        self._refreshed_s = now_s
        for gateway, known in list(self._gateways.items()):
            if known.earlier:
                known.earlier = [entry for entry in known.earlier if entry[0] > now_s]
            if now_s - known.heard_s > self._rule.window_s:
                del self._gateways[gateway]
        self._heard = sum(now_s - known.heard_s < HEARD_S for known in self._all())

    def _used_with(self, question: LimitQuestion, now_s: float) -> float:
        """Return what counts as used in the data centre together with a call."""
        self._of(question.gateway, now_s)
        gateways = max(question.gateways, len(self._gateways))
        own_part = self._rule.of_gateway(question.limit, gateways)
        equal_part = self._rule.of_centre(question.limit) / gateways
        used = 0.0
        for gateway, known in self._gateways.items():
            unknown = self._unknown_share(known.known_since_s, now_s)
            amount = known.amount(question.organisation)
            if gateway == question.gateway:
                amount += question.amount
            used += max(own_part * (1 - unknown), amount) + equal_part * unknown
        # A gateway that has not reported may use its own part, and may have used more.
        unknown = self._unknown_share(self._listening_since_s, now_s)
        not_heard = gateways - len(self._gateways)
        return used + not_heard * (own_part * (1 - unknown) + equal_part * unknown)

    def _unknown_share(self, known_since_s: float, now_s: float) -> float:
        """Return the share of the window of which nothing is known."""
        return max(0.0, 1.0 - (now_s - known_since_s) / self._rule.window_s)

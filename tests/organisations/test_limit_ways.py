"""Benchmark: three ways to hold a limit over all gateways, on the same calls.

69 gateways in three data centres that get 0.37, 0.37 and 0.26 of the calls of one organisation;
a call counts 1,600 tokens. The organisation sends its usual rate for 20 s, then 7.5 times as
much for 6.5 s, then its usual rate again; its limit is 1.8 times its usual rate, 2,700 a second
at the least. What is owed is what a token bucket of the limit lets through.

Refused of what is owed at the usual rate, and the largest window as a share of what is
tolerated (1 must not be exceeded), five draws each:

============================  ==============  ==============  ===============
way                           1,200 a second  5,000 a second  50,000 a second
============================  ==============  ==============  ===============
equal parts a gateway         1.00, 0.00      1.00, 0.00      0.04, 0.84
rates in digests, 0.5 s old   0.00, 1.10      0.00, 1.25      0.00, 1.25
a limiter a data centre       0.00, 0.76      0.02, 0.85      0.00, 0.89
============================  ==============  ==============  ===============
"""

from __future__ import annotations

import random
from typing import Protocol

import attrs
import pytest

from limeshelf.organisations.limiter import Limiter, LimitQuestion, Ruling
from limeshelf.organisations.limits import USED_SHARE, LimitRule
from limeshelf.organisations.organisation import UsageLimit
from limeshelf.organisations.pace import Paces
from limeshelf.organisations.usage import UsageWindow
from limeshelf.util.clock import VirtualClock, virtual_clock

WINDOW_S = 8.0
RULE = LimitRule(window_s=WINDOW_S, overrun=0.1, slack=11_000.0, centres=3)
CENTRE_SHARES = (0.37, 0.37, 0.26)
GATEWAYS = 23
CALL = 1600
STEP_S = 0.01
REPORT_STEPS = 25
USUAL_S, HOT_S, AFTER_S = 20.0, 6.5, 10.0
HOT = 7.5
#: A gateway learns with its second summary of what another one reported with its digest.
DIGEST_LAG_S = 0.5


class Way(Protocol):
    def admit(self, centre: int, gateway: int) -> bool: ...

    def report(self) -> None: ...


@attrs.define
class EqualParts:
    """Each gateway has an equal part of what is tolerated."""

    limit: UsageLimit
    windows: dict[tuple[int, int], UsageWindow] = attrs.field(factory=dict)

    def admit(self, centre: int, gateway: int) -> bool:
        window = self.windows.setdefault((centre, gateway), UsageWindow(WINDOW_S))
        part = RULE.of_centre(self.limit) / GATEWAYS
        return use(window) if window.used() + CALL <= part else False

    def report(self) -> None:
        pass


@attrs.define
class RatesInDigests:
    """Each gateway goes by what all had used a while ago, and by its own use since."""

    limit: UsageLimit
    used: list[tuple[float, int]] = attrs.field(factory=list)
    known: int = 0
    own: dict[tuple[int, int], int] = attrs.field(factory=dict)
    clock: VirtualClock | None = None

    def admit(self, centre: int, gateway: int) -> bool:
        assert self.clock is not None
        key = (centre, gateway)
        allowed = 3 * RULE.of_centre(self.limit)
        if self.known + self.own.get(key, 0) + CALL > allowed:
            return False
        self.own[key] = self.own.get(key, 0) + CALL
        self.used.append((self.clock.now_s, CALL))
        return True

    def report(self) -> None:
        assert self.clock is not None
        now_s = self.clock.now_s
        self.used = [(at_s, amount) for at_s, amount in self.used if at_s > now_s - WINDOW_S]
        self.known = sum(amount for at_s, amount in self.used if at_s < now_s - DIGEST_LAG_S)
        self.own.clear()


@attrs.define
class LimiterEach:
    """A limiter in each data centre."""

    limit: UsageLimit
    limiters: list[Limiter] = attrs.field(factory=list)
    paces: list[Paces] = attrs.field(factory=lambda: [Paces(RULE) for _ in CENTRE_SHARES])
    windows: dict[tuple[int, int], UsageWindow] = attrs.field(factory=dict)
    clock: VirtualClock | None = None

    def admit(self, centre: int, gateway: int) -> bool:
        assert self.clock is not None
        now_s = self.clock.now_s
        if self.paces[centre].wait_s('acme', self.limit, CALL, now_s):
            return False
        question = LimitQuestion(str(gateway), 'acme', self.limit, CALL, GATEWAYS)
        decision = self.limiters[centre].decide(question, now_s)
        if decision.ruling is not Ruling.WITHIN:
            return False
        self.paces[centre].take('acme', CALL)
        return use(self.windows[centre, gateway])

    def report(self) -> None:
        assert self.clock is not None
        now_s = self.clock.now_s
        if not self.limiters:
            self.limiters = [Limiter(RULE, now_s - 100.0) for _ in CENTRE_SHARES]
        for centre, limiter in enumerate(self.limiters):
            for gateway in range(GATEWAYS):
                window = self.windows.setdefault((centre, gateway), UsageWindow(WINDOW_S))
                used = {'acme': window.used()}
                limiter.take_report(str(gateway), 1, 100.0, used, now_s)


def use(window: UsageWindow) -> bool:
    call = window.reserve(CALL)
    call.note_sent()
    call.close()
    return True


@attrs.define
class Bucket:
    """What is owed: a token bucket of the limit itself."""

    limit: UsageLimit
    saved: float

    def owes(self) -> bool:
        if self.saved < CALL:
            return False
        self.saved -= CALL
        return True

    def pass_time(self, seconds: float) -> None:
        self.saved = min(self.limit.burst, self.saved + seconds * self.limit.per_s)


@attrs.define
class Played:
    """What a way did with the calls of one draw.

    :ivar largest: window of runs, as a share of what is tolerated.
    """

    owed: int = 0
    refused: int = 0
    owed_usual: int = 0
    refused_usual: int = 0
    largest: float = 0.0


def play(way: Way, usual_per_s: float, limit: UsageLimit, seed: int) -> Played:
    draw = random.Random(seed)
    tolerated = 3 * RULE.of_centre(limit) / USED_SHARE
    bucket = Bucket(limit, limit.burst)
    played = Played()
    runs: list[float] = []
    with virtual_clock() as clock:
        if not isinstance(way, EqualParts):
            way.clock = clock  # type: ignore[attr-defined]
        for step in range(int((USUAL_S + HOT_S + AFTER_S) / STEP_S)):
            clock.advance(STEP_S)
            bucket.pass_time(STEP_S)
            if step % REPORT_STEPS == 0:
                way.report()
            is_hot = USUAL_S <= step * STEP_S < USUAL_S + HOT_S
            expected = usual_per_s * (HOT if is_hot else 1.0) * STEP_S / CALL
            for _ in range(int(expected) + (draw.random() < expected % 1)):
                [centre] = draw.choices(range(3), CENTRE_SHARES)
                is_owed = bucket.owes()
                is_admitted = way.admit(centre, draw.randrange(GATEWAYS))
                if is_admitted:
                    runs.append(clock.now_s)
                played.owed += is_owed
                played.refused += is_owed and not is_admitted
                if step * STEP_S < USUAL_S:
                    played.owed_usual += is_owed
                    played.refused_usual += is_owed and not is_admitted
            runs = [at_s for at_s in runs if at_s > clock.now_s - WINDOW_S]
            played.largest = max(played.largest, len(runs) * CALL / tolerated)
    return played


@pytest.mark.parametrize(
    ('way', 'usual_per_s', 'refused_usual', 'largest'),
    [
        (EqualParts, 1200.0, 1.0, 0.0),
        (EqualParts, 5000.0, 1.0, 0.0),
        (EqualParts, 50_000.0, 0.04, 0.84),
        (RatesInDigests, 1200.0, 0.0, 1.10),
        (RatesInDigests, 5000.0, 0.0, 1.25),
        (RatesInDigests, 50_000.0, 0.0, 1.25),
        (LimiterEach, 1200.0, 0.0, 0.76),
        (LimiterEach, 5000.0, 0.02, 0.85),
        (LimiterEach, 50_000.0, 0.0, 0.89),
    ],
)
def test_refused_at_the_usual_rate_and_largest_window(
    way: type[Way], usual_per_s: float, refused_usual: float, largest: float
) -> None:
    per_s = max(2700.0, 1.8 * usual_per_s)
    limit = UsageLimit(per_s, per_s, in_tokens=True, plain_call_tokens=200)
    results = [play(way(limit), usual_per_s, limit, seed) for seed in range(5)]
    refused = sum(one.refused_usual for one in results) / sum(one.owed_usual for one in results)
    assert refused == pytest.approx(refused_usual, abs=0.02)
    assert max(one.largest for one in results) == pytest.approx(largest, abs=0.06)

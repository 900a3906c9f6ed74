"""Benchmark of three methods to enforce a limit over all gateways, with the same calls.

69 gateways in three data centres receive 0.37, 0.37 and 0.26 of the calls of one organisation; a
call costs 1,600 tokens. The organisation sends at its usual rate for 20 s, then at 7.5 times that
rate for 6.5 s, then at its usual rate again. Its limit is 1.8 times its usual rate, but at least
2,700 tokens a second. The calls that a token bucket of the limit admits should be served.

The table gives, for five seeds each, the share of these calls that was refused at the usual rate,
and the usage of the largest window as a share of the tolerated usage (must not exceed 1):

============================  ==============  ==============  ===============
method                        1,200 a second  5,000 a second  50,000 a second
============================  ==============  ==============  ===============
equal quotas for gateways     1.00, 0.00      1.00, 0.00      0.04, 0.84
rates in digests, 0.5 s old   0.00, 1.10      0.00, 1.25      0.00, 1.25
a limiter a data centre       0.00, 0.76      0.02, 0.85      0.00, 0.89
============================  ==============  ==============  ===============
"""

from __future__ import annotations

import random
from typing import Protocol

import attrs
import pytest

from limeshelf.organisations.limiter import Limiter, LimitRequest, Ruling
from limeshelf.organisations.limits import USED_SHARE, LimitRule
from limeshelf.organisations.organisation import UsageLimit
from limeshelf.organisations.token_buckets import TokenBuckets
from limeshelf.organisations.usage import UsageWindow
from limeshelf.util.clock import VirtualClock, virtual_clock

WINDOW_S = 8.0
RULE = LimitRule(window_s=WINDOW_S, overrun=0.1, slack=11_000.0, centres=3)
CENTRE_SHARES = (0.37, 0.37, 0.26)
GATEWAYS = 23
CALL_TOKENS = 1600
STEP_S = 0.01
REPORT_STEPS = 25
USUAL_S, PEAK_S, AFTER_S = 20.0, 6.5, 10.0
PEAK_FACTOR = 7.5
#: Delay until a gateway knows the usage that another one reported: two summary periods.
DIGEST_DELAY_S = 0.5


class Method(Protocol):
    def admit(self, centre: int, gateway: int) -> bool: ...

    def report(self) -> None: ...


@attrs.define
class EqualQuotas:
    """Each gateway has an equal share of the tolerated usage."""

    limit: UsageLimit
    windows: dict[tuple[int, int], UsageWindow] = attrs.field(factory=dict)

    def admit(self, centre: int, gateway: int) -> bool:
        window = self.windows.setdefault((centre, gateway), UsageWindow(WINDOW_S))
        quota = RULE.centre_quota(self.limit) / GATEWAYS
        return use(window) if window.used() + CALL_TOKENS <= quota else False

    def report(self) -> None:
        pass


@attrs.define
class RatesInDigests:
    """Each gateway adds its own recent usage to the total of all as last reported."""

    limit: UsageLimit
    used: list[tuple[float, int]] = attrs.field(factory=list)
    known: int = 0
    own: dict[tuple[int, int], int] = attrs.field(factory=dict)
    clock: VirtualClock | None = None

    def admit(self, centre: int, gateway: int) -> bool:
        assert self.clock is not None
        key = (centre, gateway)
        allowed = 3 * RULE.centre_quota(self.limit)
        if self.known + self.own.get(key, 0) + CALL_TOKENS > allowed:
            return False
        self.own[key] = self.own.get(key, 0) + CALL_TOKENS
        self.used.append((self.clock.now_s, CALL_TOKENS))
        return True

    def report(self) -> None:
        assert self.clock is not None
        now_s = self.clock.now_s
        self.used = [(at_s, amount) for at_s, amount in self.used if at_s > now_s - WINDOW_S]
        self.known = sum(amount for at_s, amount in self.used if at_s < now_s - DIGEST_DELAY_S)
        self.own.clear()


@attrs.define
class LimiterPerCentre:
    """A limiter in each data centre decides for its gateways."""

    limit: UsageLimit
    limiters: list[Limiter] = attrs.field(factory=list)
    buckets: list[TokenBuckets] = attrs.field(
        factory=lambda: [TokenBuckets(RULE) for _ in CENTRE_SHARES]
    )
    windows: dict[tuple[int, int], UsageWindow] = attrs.field(factory=dict)
    clock: VirtualClock | None = None

    def admit(self, centre: int, gateway: int) -> bool:
        assert self.clock is not None
        now_s = self.clock.now_s
        if self.buckets[centre].wait_s('acme', self.limit, CALL_TOKENS, now_s):
            return False
        request = LimitRequest(str(gateway), 'acme', self.limit, CALL_TOKENS, GATEWAYS)
        decision = self.limiters[centre].decide(request, now_s)
        if decision.ruling is not Ruling.WITHIN:
            return False
        self.buckets[centre].deduct('acme', CALL_TOKENS)
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
                limiter.record_report(str(gateway), 1, 100.0, used, now_s)


def use(window: UsageWindow) -> bool:
    call = window.reserve(CALL_TOKENS)
    call.record_sent()
    call.close()
    return True


@attrs.define
class LimitBucket:
    """A token bucket of the limit itself, which determines the calls that should be served."""

    limit: UsageLimit
    level: float

    def try_take(self) -> bool:
        if self.level < CALL_TOKENS:
            return False
        self.level -= CALL_TOKENS
        return True

    def refill(self, seconds: float) -> None:
        self.level = min(self.limit.burst, self.level + seconds * self.limit.per_s)


@attrs.define
class SimulationResult:
    """The result of one method for the calls of one seed.

    :ivar owed: calls that should be served; in ``owed_usual`` those at the usual rate.
    :ivar refused: of these, the calls that were refused.
    :ivar largest: usage of the largest window, as a share of the tolerated usage.
    """

    owed: int = 0
    refused: int = 0
    owed_usual: int = 0
    refused_usual: int = 0
    largest: float = 0.0


def simulate(method: Method, usual_per_s: float, limit: UsageLimit, seed: int) -> SimulationResult:
    generator = random.Random(seed)
    tolerated = 3 * RULE.centre_quota(limit) / USED_SHARE
    bucket = LimitBucket(limit, limit.burst)
    result = SimulationResult()
    runs: list[float] = []
    with virtual_clock() as clock:
        if not isinstance(method, EqualQuotas):
            method.clock = clock  # type: ignore[attr-defined]
        for step in range(int((USUAL_S + PEAK_S + AFTER_S) / STEP_S)):
            clock.advance(STEP_S)
            bucket.refill(STEP_S)
            if step % REPORT_STEPS == 0:
                method.report()
            is_peak = USUAL_S <= step * STEP_S < USUAL_S + PEAK_S
            expected = usual_per_s * (PEAK_FACTOR if is_peak else 1.0) * STEP_S / CALL_TOKENS
            for _ in range(int(expected) + (generator.random() < expected % 1)):
                [centre] = generator.choices(range(3), CENTRE_SHARES)
                is_owed = bucket.try_take()
                is_admitted = method.admit(centre, generator.randrange(GATEWAYS))
                if is_admitted:
                    runs.append(clock.now_s)
                result.owed += is_owed
                result.refused += is_owed and not is_admitted
                if step * STEP_S < USUAL_S:
                    result.owed_usual += is_owed
                    result.refused_usual += is_owed and not is_admitted
            runs = [at_s for at_s in runs if at_s > clock.now_s - WINDOW_S]
            result.largest = max(result.largest, len(runs) * CALL_TOKENS / tolerated)
    return result


@pytest.mark.parametrize(
    ('method', 'usual_per_s', 'refused_usual', 'largest'),
    [
        (EqualQuotas, 1200.0, 1.0, 0.0),
        (EqualQuotas, 5000.0, 1.0, 0.0),
        (EqualQuotas, 50_000.0, 0.04, 0.84),
        (RatesInDigests, 1200.0, 0.0, 1.10),
        (RatesInDigests, 5000.0, 0.0, 1.25),
        (RatesInDigests, 50_000.0, 0.0, 1.25),
        (LimiterPerCentre, 1200.0, 0.0, 0.76),
        (LimiterPerCentre, 5000.0, 0.02, 0.85),
        (LimiterPerCentre, 50_000.0, 0.0, 0.89),
    ],
)
def test_refused_at_the_usual_rate_and_largest_window(
    method: type[Method], usual_per_s: float, refused_usual: float, largest: float
) -> None:
    per_s = max(2700.0, 1.8 * usual_per_s)
    limit = UsageLimit(per_s, per_s, in_tokens=True, plain_call_tokens=200)
    results = [simulate(method(limit), usual_per_s, limit, seed) for seed in range(5)]
    refused = sum(one.refused_usual for one in results) / sum(one.owed_usual for one in results)
    assert refused == pytest.approx(refused_usual, abs=0.02)
    assert max(one.largest for one in results) == pytest.approx(largest, abs=0.06)

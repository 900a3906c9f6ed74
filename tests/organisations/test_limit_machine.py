"""Usage stays within the tolerated limit in every window, whatever fails.

A stateful test of one data centre: gateways with a usage record each, and two limiters that
receive their reports. Gateways are cut off from the limiters one by one, restart and reserve
usage for calls that run later or not at all. Either limiter may be asked at any time, and both
may be replaced.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from limeshelf.organisations.limiter import Limiter, LimitRequest, Ruling
from limeshelf.organisations.limits import USED_SHARE, LimitRule
from limeshelf.organisations.organisation import UsageLimit
from limeshelf.organisations.usage import GatewayUsage, Reservation
from limeshelf.util.clock import virtual_clock

WINDOW_S = 8.0
RULE = LimitRule(window_s=WINDOW_S, overrun=0.1, slack=0.0, centres=1)
LIMIT = UsageLimit(per_s=1000.0, burst=0.0, in_tokens=True)
TOLERATED = RULE.centre_quota(LIMIT) / USED_SHARE
GATEWAYS = 5
#: Cost of a call: 0.02 of the tolerated usage in a window.
CALL_COST = 170
NUMBERS = st.integers(0, GATEWAYS - 1)


@attrs.define(eq=False)
class Gateway:
    started_s: float
    usage: GatewayUsage = attrs.field(factory=lambda: GatewayUsage(WINDOW_S))
    waiting: list[tuple[int, Reservation]] = attrs.field(factory=list)


class LimitMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.time = virtual_clock()
        self.now = self.time.__enter__()
        self.gateways = [Gateway(self.now.now_s) for _ in range(GATEWAYS)]
        self.limiters = [Limiter(RULE, self.now.now_s) for _ in range(2)]
        self.cut_off: set[int] = set()
        self.runs: list[tuple[float, int]] = []
        # Starts with two windows without a fault.
        for _ in range(int(2 * WINDOW_S)):
            self.now.advance(1.0)
            self.report_all()

    def teardown(self) -> None:
        self.time.__exit__(None, None, None)

    def report_all(self) -> None:
        for number in range(GATEWAYS):
            self.report(number)

    def report(self, number: int) -> None:
        gateway = self.gateways[number]
        used = gateway.usage.report(keeps_previous=number in self.cut_off)
        if number in self.cut_off:
            return
        for limiter in self.limiters:
            limiter.record_report(
                str(number),
                int(gateway.started_s * 1000),
                self.now.now_s - gateway.started_s,
                used,
                self.now.now_s,
            )

    @rule(quarters=st.integers(1, 12))
    def wait(self, quarters: int) -> None:
        """Time passes; gateways that are not cut off report at the usual period."""
        for _ in range(quarters):
            self.now.advance(0.25)
            self.report_all()

    @rule(number=NUMBERS, which=st.integers(0, 1), calls=st.integers(1, 40), data=st.data())
    def ask(self, number: int, which: int, calls: int, data: Any) -> None:
        """A gateway receives calls one after the other, which are all sent now or all wait."""
        waits = data.draw(st.booleans())
        for _ in range(calls):
            self.one_call(number, which, CALL_COST, waits)

    def one_call(self, number: int, which: int, amount: int, waits: bool) -> None:
        gateway = self.gateways[number]
        window = gateway.usage.window_of('acme')
        if number in self.cut_off:
            age_s = self.now.now_s - gateway.started_s
            own_quota = RULE.gateway_quota(LIMIT, GATEWAYS, age_s)
            if not gateway.usage.may_use_without_limiter('acme', amount, own_quota):
                return
        else:
            request = LimitRequest(str(number), 'acme', LIMIT, amount, GATEWAYS)
            limiter = self.limiters[which]
            decision = limiter.decide(request, self.now.now_s, is_first=which == 0)
            if decision.ruling is not Ruling.WITHIN:
                return
            gateway.usage.record_grant('acme', amount)
        reservation = window.reserve(amount)
        if waits:
            gateway.waiting.append((amount, reservation))
        else:
            self.run_call(amount, reservation)

    def run_call(self, amount: int, reservation: Reservation) -> None:
        reservation.record_sent()
        reservation.close()
        self.runs.append((self.now.now_s, amount))

    @rule(number=NUMBERS)
    def send_waiting(self, number: int) -> None:
        gateway = self.gateways[number]
        for amount, reservation in gateway.waiting:
            self.run_call(amount, reservation)
        gateway.waiting.clear()

    @rule(number=NUMBERS)
    def cancel_waiting(self, number: int) -> None:
        for _, reservation in self.gateways[number].waiting:
            reservation.close()
        self.gateways[number].waiting.clear()

    @rule(number=NUMBERS)
    def cut_off_gateway(self, number: int) -> None:
        """The gateway reports once more and is then cut off."""
        self.report(number)
        self.cut_off.add(number)

    @rule()
    def reconnect_all(self) -> None:
        self.cut_off.clear()
        self.report_all()

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        self.report(number)
        self.gateways[number] = Gateway(self.now.now_s)

    @rule(which=st.integers(0, 1))
    def replace_limiter(self, which: int) -> None:
        """Replace a limiter by another gateway, which has received no reports so far."""
        self.limiters[which] = Limiter(RULE, self.now.now_s)
        self.report_all()

    @rule()
    def restart_all(self) -> None:
        """Restart all gateways and limiters at once, as after a power failure."""
        self.cut_off.clear()
        self.now.advance(0.5)
        self.gateways = [Gateway(self.now.now_s) for _ in range(GATEWAYS)]
        self.limiters = [Limiter(RULE, self.now.now_s) for _ in range(2)]
        self.report_all()

    @invariant()
    def every_window_is_within_the_tolerated_limit(self) -> None:
        window_begin_s = self.now.now_s - WINDOW_S
        self.runs = [(at_s, amount) for at_s, amount in self.runs if at_s > window_begin_s]
        assert sum(amount for _, amount in self.runs) <= TOLERATED


TestLimits = LimitMachine.TestCase
TestLimits.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)

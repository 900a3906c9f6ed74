"""What all gateways together send again stays below the limit, whomever each of them hears.

What users saw: a service got more calls a second and third time than is allowed over all
gateways: 211 of 745 calls in 10 s, where 205 were allowed.

Order of events: cuts separate data centres; then every replica refuses many calls, callers repeat
at once, and each gateway sends again what its part of the limit allows.

Cause: a gateway divided the limit by those it heard just now. One that is cut off, or has just
started, hears nobody and takes the whole; those that it no longer hears take their parts as well.

Evidence: three of four plays of two cuts of 4 s and replicas that refuse 60 % for 10 s broke the
limit (by 3 to 6 calls); with data centres that find each other after a cut none of six did.
Without a network, nine gateways that hear nobody let 1,800 calls be sent again 491 times where
416 are allowed, 180 calls 256 times where 92 are, and 360 times right after a start.
"""

from __future__ import annotations

from typing import Any

import attrs

from limeshelf.admission.retry_budget import RetryBudgets, RetryRule
from limeshelf.membership.messages import FleetSummary
from limeshelf.peers.codec import Envelope
from limeshelf.util.clock import VirtualClock, virtual_clock
from tests.membership.test_digest_exchange import exchange

RULE = RetryRule(ratio=0.2, slack=56.0, window_s=10.0)
GATEWAYS = 9
ADDRESSES = [f'g{number}' for number in range(GATEWAYS)]
STEP_S = 0.1


@attrs.define
class Gateway:
    """What one gateway counts, and what it may send again."""

    digests: Any
    budgets: RetryBudgets = attrs.field(factory=lambda: RetryBudgets(RULE))

    def note_count(self) -> None:
        """Do as the program does every 0.3 s."""
        self.budgets.gateways = self.digests.gateway_count


def fleet() -> list[Gateway]:
    return [
        Gateway(exchange(own, *(other for other in ADDRESSES if other != own)))
        for own in ADDRESSES
    ]


def hear_of_all(gateways: list[Gateway]) -> None:
    for gateway in gateways:
        summary = FleetSummary(GATEWAYS, [], {})
        gateway.digests._handle_summary(Envelope('g0', 'c1', summary))
        gateway.note_count()


def repeats_in_window(gateways: list[Gateway], clock: VirtualClock, calls: int) -> int:
    """Let every call want two repeats; return how many all gateways allow in a window."""
    repeats = 0
    calls_due = 0.0
    for _ in range(int(RULE.window_s / STEP_S)):
        clock.advance(STEP_S)
        calls_due += calls * STEP_S / RULE.window_s / len(gateways)
        while calls_due >= 1.0:
            calls_due -= 1.0
            for gateway in gateways:
                gateway.note_count()
                budget = gateway.budgets.of('lm')
                budget.note_call()
                repeats += budget.try_retry() + budget.try_retry()
    return repeats


def allowed(calls: int) -> float:
    return RULE.ratio * calls + RULE.slack


def repeats_of_gateways_that_are_cut_off(clock: VirtualClock, calls: int) -> int:
    gateways = fleet()
    hear_of_all(gateways)
    clock.advance(5.0)
    return repeats_in_window(gateways, clock, calls)


def repeats_of_gateways_that_have_just_started(clock: VirtualClock, calls: int) -> int:
    return repeats_in_window(fleet(), clock, calls)


def test_gateways_that_hear_nobody_keep_to_the_limit_together() -> None:
    with virtual_clock() as clock:
        for calls in (180, 1800):
            assert repeats_of_gateways_that_are_cut_off(clock, calls) <= allowed(calls)
            assert repeats_of_gateways_that_have_just_started(clock, calls) <= allowed(calls)

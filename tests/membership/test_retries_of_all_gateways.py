"""All gateways together stay within the retry limit, also when they are cut off from each other.

The failure: each gateway divided the limit by the number of gateways that were active in its
view. A gateway that is cut off, or has just started, knows no other active one and used the whole
limit, while the gateways unknown to it used their shares as well. A service then received 211
retries of 745 calls in 10 s, where 205 were allowed.

It occurs when network partitions separate data centres and then all replicas refuse many calls:
with two partitions of 4 s and replicas that refuse 60 % for 10 s, three of four attempts exceeded
the limit by 3 to 6 calls; none of six did when data centres exchanged messages again after a
partition. In this test, nine isolated gateways allowed 491 retries of 1,800 calls (limit 416),
256 retries of 180 calls (limit 92), and 360 directly after a start.
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
    """One gateway: its count of gateways and its retry budgets."""

    digests: Any
    budgets: RetryBudgets = attrs.field(factory=lambda: RetryBudgets(RULE))

    def update_budgets(self) -> None:
        """Update the budgets with the gateway count, as the program does every 0.3 s."""
        self.budgets.gateways = self.digests.gateway_count


def fleet() -> list[Gateway]:
    return [
        Gateway(exchange(own, *(other for other in ADDRESSES if other != own)))
        for own in ADDRESSES
    ]


def send_summary_to_all(gateways: list[Gateway]) -> None:
    for gateway in gateways:
        summary = FleetSummary(GATEWAYS, [], {})
        gateway.digests._handle_summary(Envelope('g0', 'c1', summary))
        gateway.update_budgets()


def retries_in_window(gateways: list[Gateway], clock: VirtualClock, calls: int) -> int:
    """Try two retries of each call; return how many all gateways allow in a window."""
    retries = 0
    calls_due = 0.0
    for _ in range(int(RULE.window_s / STEP_S)):
        clock.advance(STEP_S)
        calls_due += calls * STEP_S / RULE.window_s / len(gateways)
        while calls_due >= 1.0:
            calls_due -= 1.0
            for gateway in gateways:
                gateway.update_budgets()
                budget = gateway.budgets.of('lm')
                budget.record_call()
                retries += budget.try_retry() + budget.try_retry()
    return retries


def allowed(calls: int) -> float:
    return RULE.ratio * calls + RULE.slack


def retries_of_gateways_that_are_cut_off(clock: VirtualClock, calls: int) -> int:
    gateways = fleet()
    send_summary_to_all(gateways)
    clock.advance(5.0)
    return retries_in_window(gateways, clock, calls)


def retries_of_gateways_that_have_just_started(clock: VirtualClock, calls: int) -> int:
    return retries_in_window(fleet(), clock, calls)


def test_isolated_gateways_stay_within_the_limit_together() -> None:
    with virtual_clock() as clock:
        for calls in (180, 1800):
            assert retries_of_gateways_that_are_cut_off(clock, calls) <= allowed(calls)
            assert retries_of_gateways_that_have_just_started(clock, calls) <= allowed(calls)

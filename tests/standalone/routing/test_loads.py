"""Loads: own requests exactly, those of others by age, first token times learned."""

from __future__ import annotations

import math

import pytest

from limeshelf.standalone.config.document import PriorityClass
from limeshelf.standalone.membership.upstreams import Upstream
from limeshelf.standalone.routing.loads import (
    FIRST_TOKEN_GUESS_S,
    LEARN_SHARE,
    REPORT_DECAY_S,
    UpstreamLoads,
)
from limeshelf.standalone.services.instances import Listed, ListedKind
from limeshelf.util.clock import virtual_clock

NORMAL = PriorityClass.NORMAL


def upstream(running: int = 0, heard_s: float = 0.0) -> Upstream:
    return Upstream(Listed('u', ListedKind.ENGINE, 'x'), running=running, heard_s=heard_s)


def test_own_requests_are_not_counted_twice() -> None:
    with virtual_clock() as clock:
        loads = UpstreamLoads()
        for _ in range(3):
            loads.started('u')
        reported = upstream(running=5, heard_s=clock.now_s)
        assert loads.running(reported) == 5.0
        loads.ended('u')
        assert loads.running(reported) == 4.0


def test_requests_of_others_fade_with_the_age_of_the_report() -> None:
    with virtual_clock() as clock:
        loads = UpstreamLoads()
        reported = upstream(running=8, heard_s=clock.now_s)
        clock.advance(REPORT_DECAY_S)
        assert loads.running(reported) == pytest.approx(8 / math.e)


def test_upstream_never_heard_of_has_own_requests_only() -> None:
    with virtual_clock():
        loads = UpstreamLoads()
        loads.started('u')
        assert loads.running(upstream(heard_s=float('-inf'))) == 1.0


def test_end_of_an_unknown_request_counts_nothing() -> None:
    loads = UpstreamLoads()
    loads.ended('u')
    assert loads.own('u') == 0


def test_first_token_time_is_a_guess_then_learned_by_request_in_work() -> None:
    loads = UpstreamLoads()
    assert loads.first_token_s(upstream(), NORMAL, 3.0) == pytest.approx(4 * FIRST_TOKEN_GUESS_S)
    loads.learn('u', NORMAL, 2.0, running=3.0)
    each_s = FIRST_TOKEN_GUESS_S + LEARN_SHARE * (0.5 - FIRST_TOKEN_GUESS_S)
    assert loads.first_token_s(upstream(), NORMAL, 1.0) == pytest.approx(2 * each_s)
    assert loads.first_token_s(upstream(), PriorityClass.LOW, 0.0) == FIRST_TOKEN_GUESS_S

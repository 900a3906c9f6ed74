"""Who grants a request: the leader, or this gateway by itself."""

from __future__ import annotations

from limeshelf.dispatch.fallback import (
    AVOID_S,
    FALLBACK_SHARE,
    LOCAL,
    WHOLE_SHARE,
    DispatcherChoice,
    Fallback,
)


def test_leader_grants_all_of_the_reading() -> None:
    assert Fallback().choose(LOCAL, 5.0) == DispatcherChoice(LOCAL, WHOLE_SHARE)


def test_other_gateways_ask_the_leader() -> None:
    assert Fallback().choose('g1', 5.0) == DispatcherChoice('g1', FALLBACK_SHARE)


def test_without_a_leader_each_gateway_grants_a_part() -> None:
    assert Fallback().choose(None, 5.0) == DispatcherChoice(LOCAL, FALLBACK_SHARE)


def test_silent_leader_is_avoided_for_a_while() -> None:
    fallback = Fallback()
    fallback.note_silence(5.0)
    assert fallback.choose('g1', 5.0 + AVOID_S / 2).address == LOCAL
    assert fallback.choose('g1', 5.0 + AVOID_S).address == 'g1'


def test_gateway_that_becomes_leader_grants_all_though_its_predecessor_was_silent() -> None:
    fallback = Fallback()
    fallback.note_silence(5.0)
    assert fallback.choose(LOCAL, 5.0).local_share == WHOLE_SHARE

"""Choice between the owner of the replicas and local grants."""

from __future__ import annotations

from limeshelf.dispatch.fallback import (
    AVOID_S,
    FALLBACK_SHARE,
    WHOLE_SHARE,
    Fallback,
    prefill_share,
)
from limeshelf.membership.member import LOCAL


def test_owner_grants_the_whole_prefill_capacity() -> None:
    assert Fallback().choose(LOCAL, 5.0) == LOCAL
    assert prefill_share(LOCAL) == WHOLE_SHARE


def test_other_gateways_ask_the_owner_and_grant_a_part_at_the_most() -> None:
    assert Fallback().choose('g1', 5.0) == 'g1'
    assert prefill_share('g1') == FALLBACK_SHARE


def test_without_an_owner_each_gateway_grants_a_part() -> None:
    assert Fallback().choose(None, 5.0) == LOCAL
    assert prefill_share(None) == FALLBACK_SHARE


def test_only_the_unresponsive_owner_is_avoided_temporarily() -> None:
    fallback = Fallback()
    fallback.record_timeout('g1', 5.0)
    assert fallback.choose('g1', 5.0 + AVOID_S / 2) == LOCAL
    assert fallback.choose('g2', 5.0 + AVOID_S / 2) == 'g2'
    assert fallback.choose('g1', 5.0 + AVOID_S) == 'g1'

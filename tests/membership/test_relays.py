"""Which gateways of a data centre are its relays."""

from __future__ import annotations

from limeshelf.membership.member import Member
from limeshelf.membership.relays import RELAY_TIMEOUT_S, choose_relays


def test_relays_are_chosen_by_weight_skipping_those_that_timed_out() -> None:
    now_s = 100.0
    own = Member('own', 'c1', 1.0)
    silent = Member('silent', 'c1', 9.0, last_message_s=90.0, relay_since_s=80.0)
    back = Member('back', 'c1', 8.0, last_message_s=90.0)
    heavy = Member('heavy', 'c1', 5.0, now_s - RELAY_TIMEOUT_S / 2, relay_since_s=80.0)
    choice = choose_relays([silent, back, heavy, own], own, now_s)
    assert [member.address for member in choice.timed_out] == ['silent']
    # 'back' has only just become a relay by rank and cannot have timed out as a relay yet.
    assert [member.address for member in choice.relays] == ['back', 'heavy']
    assert [member.address for member in choice.standby] == ['own']


def test_this_gateway_never_times_out_in_its_own_view() -> None:
    own = Member('own', 'c1', 1.0, relay_since_s=1.0)
    assert choose_relays([own], own, 100.0).relays == [own]

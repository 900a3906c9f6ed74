"""Which gateways of a data centre are its relays."""

from __future__ import annotations

from limeshelf.membership.member import Member
from limeshelf.membership.relays import RELAY_TIMEOUT_S, choose_relays


def test_relays_are_chosen_by_weight_and_past_the_silent() -> None:
    now_s = 100.0
    own = Member('own', 'c1', 1.0)
    late = Member('late', 'c1', 9.0, last_message_s=90.0, relay_since_s=80.0)
    back = Member('back', 'c1', 8.0, last_message_s=90.0)
    heavy = Member('heavy', 'c1', 5.0, now_s - RELAY_TIMEOUT_S / 2, relay_since_s=80.0)
    choice = choose_relays([late, back, heavy, own], own, now_s)
    assert [one.address for one in choice.timed_out] == ['late']
    # One that has just come to rank as a relay gets a moment.
    assert [one.address for one in choice.relays] == ['back', 'heavy']
    assert [one.address for one in choice.standby] == ['own']


def test_this_gateway_is_never_silent_to_itself() -> None:
    own = Member('own', 'c1', 1.0, relay_since_s=1.0)
    assert choose_relays([own], own, 100.0).relays == [own]

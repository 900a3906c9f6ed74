"""The rules of membership by themselves, from silence to who is sent what."""

from __future__ import annotations

import pytest

from limeshelf.membership import audience
from limeshelf.membership.contention import CONTEND_AFTER_S, may_contend
from limeshelf.membership.digests import DIGEST_LIFE_S, is_late
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.relays import RELAY_SILENT_S, choose_relays
from limeshelf.membership.silence import RETRY_SILENT_S, SILENT_S, Contact, contact_of, is_active
from limeshelf.membership.store_polling import (
    PATIENCE_LIMIT_S,
    PATIENCE_STEP_S,
    patience_s,
    polls_store,
)
from limeshelf.util.clock import virtual_clock


@pytest.mark.parametrize(
    ('silent_s', 'since_retry_s', 'contact'),
    [
        (0.0, 0.0, Contact.ACTIVE),
        (SILENT_S, 0.0, Contact.ACTIVE),
        (SILENT_S + 0.1, RETRY_SILENT_S - 0.1, Contact.SKIP),
        (SILENT_S + 0.1, RETRY_SILENT_S, Contact.RETRY),
    ],
)
def test_silent_gateways_are_sent_little(
    silent_s: float, since_retry_s: float, contact: Contact
) -> None:
    assert contact_of(silent_s, since_retry_s) is contact


def test_gateway_counts_until_it_is_silent() -> None:
    assert is_active(SILENT_S - 0.1)
    assert not is_active(SILENT_S)


def test_relays_are_chosen_by_weight_and_past_the_silent() -> None:
    now_s = 100.0
    own = Member('own', 'c1', 1.0)
    late = Member('late', 'c1', 9.0, last_message_s=90.0, relay_since_s=80.0)
    back = Member('back', 'c1', 8.0, last_message_s=90.0)
    heavy = Member('heavy', 'c1', 5.0, now_s - RELAY_SILENT_S / 2, relay_since_s=80.0)
    choice = choose_relays([own, heavy, back, late], own, now_s)
    assert [one.address for one in choice.silent] == ['late']
    # One that has just come to rank as a relay gets a moment.
    assert [one.address for one in choice.relays] == ['back', 'heavy']
    assert [one.address for one in choice.standby] == ['own']


def test_this_gateway_is_never_silent_to_itself() -> None:
    own = Member('own', 'c1', 1.0, relay_since_s=1.0)
    assert choose_relays([own], own, 100.0).relays == [own]


@pytest.mark.parametrize(
    ('number', 'known_age_s', 'late'),
    [(6, 0.0, False), (5, 0.0, True), (4, 0.0, True), (4, DIGEST_LIFE_S, False)],
)
def test_overtaken_digest_is_late_while_the_known_one_counts(
    number: int, known_age_s: float, late: bool
) -> None:
    assert is_late(number, 5, known_age_s) is late


@pytest.mark.parametrize(
    ('leader_is_active', 'is_relay', 'leaderless_s', 'expected'),
    [
        (True, True, 0.0, False),
        (False, True, 0.0, True),
        (False, False, CONTEND_AFTER_S, False),
        (False, False, CONTEND_AFTER_S + 0.1, True),
    ],
)
def test_relays_contend_first(
    leader_is_active: bool, is_relay: bool, leaderless_s: float, expected: bool
) -> None:
    contends = may_contend(
        leader_is_active=leader_is_active, is_relay=is_relay, leaderless_s=leaderless_s
    )
    assert contends is expected


@pytest.mark.parametrize(
    ('is_first_relay', 'overdue_s', 'expected'),
    [
        (True, -1.0, True),
        (False, -1.0, False),
        (False, 2 * PATIENCE_STEP_S, False),
        (False, 2 * PATIENCE_STEP_S + 0.01, True),
    ],
)
def test_store_is_asked_by_the_first_relay_or_when_copies_are_old(
    is_first_relay: bool, overdue_s: float, expected: bool
) -> None:
    polls = polls_store(is_first_relay=is_first_relay, rank=2, overdue_s=overdue_s)
    assert polls is expected


def test_patience_rises_with_the_rank_up_to_a_limit() -> None:
    assert patience_s(0) == 0.0
    assert patience_s(1) < patience_s(2)
    assert patience_s(1000) == PATIENCE_LIMIT_S


def two_centres(own: str) -> Members:
    """Return three gateways in each of two data centres, as one of the first knows them."""
    members = Members(Member(own, 'c1', 1.0))
    for address in ('a1', 'a2', 'a3'):
        members.add(address, 'c1', 1.0)
    for address in ('b1', 'b2', 'b3'):
        members.add(address, 'c2', 1.0)
    for member in members.others():
        members.note_message(member.address, member.data_centre)
    return members


def test_states_go_to_the_own_centre_and_to_relays_elsewhere() -> None:
    with virtual_clock():
        assert audience.of_states(two_centres('a2')) == ['a1', 'a3', 'b1', 'b2']


def test_states_of_another_centre_are_passed_on_by_the_first_relay() -> None:
    with virtual_clock():
        assert audience.of_forwarded_states(two_centres('a1'), 'c2') == ['a2', 'a3']
        assert audience.of_forwarded_states(two_centres('a1'), 'c1') == []
        assert audience.of_forwarded_states(two_centres('a2'), 'c2') == []


def test_bundles_go_to_the_leader_and_each_second_time_elsewhere() -> None:
    with virtual_clock():
        members = two_centres('a1')
        assert audience.of_bundle(members, 'b3', 1) == ['b3']
        assert audience.of_bundle(members, 'b3', 2) == ['b1', 'b2', 'b3']
        assert audience.of_bundle(members, None, 1) == []

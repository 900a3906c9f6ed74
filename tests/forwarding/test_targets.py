"""Which gateway is asked to carry a call, and which are not asked again for now."""

from __future__ import annotations

from limeshelf.forwarding import targets
from limeshelf.forwarding.targets import ForwardTargets, Wanted
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.util.clock import virtual_clock


def _targets(*others: Member) -> ForwardTargets:
    members = Members(Member('10.0.0.1:1', 'c1', forward_port=2))
    for other in others:
        members.add(other.address, other.data_centre).forward_port = other.forward_port
    return ForwardTargets(members)


APP, MODEL, OTHER_MODEL = Wanted('app'), Wanted('lm', 'm1'), Wanted('lm', 'm2')
NEAR = Member('10.0.0.2:1', 'c1', forward_port=2)
FAR = Member('10.0.0.3:1', 'c2', forward_port=2)
EARLIER_RELEASE = Member('10.0.0.4:1', 'c1')


def test_nearest_gateway_is_asked_first_and_each_one_once() -> None:
    chosen = _targets(FAR, NEAR)
    assert [chosen.choose(APP, set())] == [chosen.members.add(NEAR.address)]
    assert chosen.choose(APP, {NEAR.address}) is chosen.members.add(FAR.address)
    assert chosen.choose(APP, {NEAR.address, FAR.address}) is None


def test_gateway_of_an_earlier_release_is_never_asked() -> None:
    assert _targets(EARLIER_RELEASE).choose(APP, set()) is None


def test_gateway_that_reaches_no_replica_is_not_asked_again_at_once() -> None:
    with virtual_clock() as clock:
        chosen = _targets(NEAR)
        member = chosen.members.add(NEAR.address)
        chosen.record_refused(member, APP)
        assert chosen.choose(APP, set()) is None
        assert chosen.choose(MODEL, set()) is member
        clock.advance(targets.REFUSED_AVOID_S + 0.01)
        assert chosen.choose(APP, set()) is member


def test_gateway_that_does_not_reach_one_model_is_still_asked_for_another() -> None:
    chosen = _targets(NEAR)
    member = chosen.members.add(NEAR.address)
    chosen.record_refused(member, MODEL)
    assert chosen.choose(MODEL, set()) is None
    assert chosen.choose(OTHER_MODEL, set()) is member


def test_gateway_that_cannot_be_connected_to_is_avoided_longer_each_time() -> None:
    with virtual_clock() as clock:
        chosen = _targets(NEAR)
        member = chosen.members.add(NEAR.address)
        chosen.record_unreachable(member)
        clock.advance(targets.FIRST_UNREACHABLE_AVOID_S + 0.01)
        assert chosen.choose(MODEL, set()) is member
        chosen.record_unreachable(member)
        clock.advance(targets.FIRST_UNREACHABLE_AVOID_S + 0.01)
        assert chosen.choose(MODEL, set()) is None
        chosen.record_carried(member)
        assert chosen.choose(MODEL, set()) is member


def test_peers_are_not_stormed_when_no_gateway_reaches_a_service() -> None:
    others = [Member(f'10.0.1.{number}:1', 'c2', forward_port=2) for number in range(50)]
    chosen = _targets(*others)
    asked = 0
    for _ in range(100):
        member = chosen.choose(APP, set())
        if member is not None:
            asked += 1
            chosen.record_refused(member, APP)
    assert asked == targets.MAX_REFUSING

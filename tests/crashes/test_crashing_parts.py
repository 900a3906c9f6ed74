"""Which parts of prompts are refused after crashes, and which are not."""

from __future__ import annotations

import pytest

from limeshelf.calls.call import Call, ModelNeed, PromptPart
from limeshelf.calls.fingerprint import Fingerprint, part_fingerprints
from limeshelf.crashes.crashing_parts import CrashingParts
from limeshelf.crashes.suspects import ReplicaCrash, Suspects
from limeshelf.crashes.trials import TRIAL_WAITS_S
from limeshelf.util.clock import virtual_clock
from tests.support.replicas import plain_replica

FIRST, BAD, OTHER = Fingerprint('01'), Fingerprint('02'), Fingerprint('03')


class _World:
    """Parts, and the crashes under calls that had them."""

    def __init__(self) -> None:
        self.suspects = Suspects()
        self.parts = CrashingParts(self.suspects)
        self.crashes = 0
        self.sent = 0

    def crash(self, *parts: Fingerprint, coincident: bool = False) -> None:
        """Crash another replica under a call with some parts."""
        self.crashes += 1
        crash = ReplicaCrash(f'r{self.crashes}')
        self.parts.record_call(parts)
        for part in parts:
            self.suspects.record_crash(part, crash)
        if coincident:
            self.suspects.mark_coincident(crash)

    def begin(self, *parts: Fingerprint) -> None:
        """Begin to answer a call with some parts."""
        self.parts.record_call(parts)
        for part in parts:
            self.suspects.record_completion(part)

    def send(self, *parts: Fingerprint) -> ReplicaCrash:
        """Send a call to another replica; return the crash that it may cause."""
        self.sent += 1
        replica = plain_replica(f't{self.sent}')
        self.parts.record_sent(parts, replica)
        return ReplicaCrash(replica.replica_id)

    def refused(self, *parts: Fingerprint) -> bool:
        return self.parts.check(parts) is not None


def test_last_part_of_a_prompt_is_no_suspect() -> None:
    parts = tuple(PromptPart(name, 10) for name in ('aa', 'bb', 'cc'))
    needs = [ModelNeed('m', '', 30, 1, 1, parts), ModelNeed('n', 'a1', 30, 1, 1, parts[:2])]
    whole, shorter = (
        part_fingerprints(Call('c', 'POST', 'h', '/', (), b'', 0.0, None, need, None))
        for need in needs
    )
    # The same part counts whatever else the call holds.
    assert len(whole) == 2
    assert shorter == whole[:1]


def test_part_is_refused_after_three_crashes_of_which_two_are_isolated() -> None:
    world = _World()
    world.crash(BAD)
    world.crash(BAD, coincident=True)
    assert not world.refused(BAD)
    world.crash(BAD)
    assert world.refused(BAD)


def test_part_is_refused_after_four_crashes_at_the_same_time() -> None:
    world = _World()
    for number in range(4):
        assert not world.refused(BAD)
        world.crash(BAD, coincident=number > 0)
    assert world.refused(BAD)


def test_part_that_calls_began_with_since_is_not_refused() -> None:
    world = _World()
    for _ in range(10):
        world.crash(FIRST, BAD)
        world.begin(FIRST, OTHER)
    assert world.refused(FIRST, BAD)
    assert not world.refused(FIRST, OTHER)


def test_shared_part_is_not_refused_while_no_call_begins() -> None:
    """All replicas are down, so that nothing clears the part that all calls share."""
    world = _World()
    world.crash(FIRST, BAD)
    for _ in range(5):
        world.parts.record_call([FIRST, OTHER])
        world.crash(FIRST, BAD)
    assert world.refused(FIRST, BAD)
    assert not world.refused(FIRST, OTHER)


def test_shared_part_that_crashes_replicas_by_itself_is_refused() -> None:
    world = _World()
    for number in range(4):
        world.crash(FIRST, Fingerprint(f'1{number}'))
    assert world.refused(FIRST, OTHER)


@pytest.mark.parametrize('mended', [False, True])
def test_part_is_tried_again_once_after_a_while(mended: bool) -> None:
    with virtual_clock() as clock:
        world = _World()
        for _ in range(3):
            world.crash(BAD)
        clock.advance(TRIAL_WAITS_S[0])
        assert not world.refused(BAD)
        replica = world.send(BAD)
        assert world.refused(BAD)
        if mended:
            world.begin(BAD)
        else:
            world.suspects.record_crash(BAD, replica)
        assert world.refused(BAD) is not mended


def test_part_whose_trial_crashed_its_replica_is_tried_much_later() -> None:
    with virtual_clock() as clock:
        world = _World()
        for _ in range(3):
            world.crash(BAD)
        for wait_s in TRIAL_WAITS_S:
            clock.advance(wait_s - 0.1)
            assert world.refused(BAD)
            clock.advance(0.1)
            assert not world.refused(BAD)
            world.suspects.record_crash(BAD, world.send(BAD))


def test_crash_long_after_a_passed_trial_does_not_count_as_its_failure() -> None:
    with virtual_clock() as clock:
        world = _World()
        for _ in range(3):
            world.crash(BAD)
        clock.advance(TRIAL_WAITS_S[0])
        replica = world.send(BAD)
        world.begin(BAD)
        world.suspects.record_crash(BAD, replica)
        for _ in range(2):
            world.crash(BAD)
        clock.advance(TRIAL_WAITS_S[0])
        assert not world.refused(BAD)


def test_failed_trial_counts_against_the_rarest_of_the_refused_parts_alone() -> None:
    with virtual_clock() as clock:
        world = _World()
        for number in range(4):
            world.crash(FIRST, BAD)
            world.crash(FIRST, Fingerprint(f'1{number}'))
        clock.advance(TRIAL_WAITS_S[0])
        replica = world.send(FIRST, BAD)
        for part in (FIRST, BAD):
            world.suspects.record_crash(part, replica)
        failed = [world.suspects.state_of(part) for part in (FIRST, BAD)]
        assert [state.failed_trials for state in failed if state is not None] == [0, 1]

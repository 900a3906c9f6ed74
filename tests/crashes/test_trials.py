"""Trials of parts of prompts that crash replicas, by several gateways for hours."""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import pytest

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.crashing_parts import CrashingParts
from limeshelf.crashes.suspects import ReplicaCrash, Suspects, SuspectState, UpdateSource
from limeshelf.crashes.trials import TrialTurns
from limeshelf.util.clock import boottime_s, virtual_clock
from tests.support.replicas import plain_replica

if TYPE_CHECKING:
    from limeshelf.util.clock import VirtualClock

PART = Fingerprint('0a')
GATEWAYS = [f'10.0.0.{number}:7001' for number in range(9)]
#: Time in which all gateways must know, and crashes allowed after that: the users' bounds.
HOUR_S = 3600.0
CONTACT_S = 3.0
MAX_LATE_CRASHES = 3
KNOWN_AFTER_CRASHES = 5
#: Times from a send to the crash, from the crash to its detection, and of a message.
CRASH_S = 0.1
DETECTION_S = 0.2
MESSAGE_S = 0.1


@attrs.define
class Fleet:
    """Gateways that exchange suspects, on a virtual clock."""

    clock: VirtualClock
    rng: random.Random
    suspects: dict[str, Suspects] = attrs.field(factory=dict)
    parts: dict[str, CrashingParts] = attrs.field(factory=dict)
    crashed_s: list[float] = attrs.field(factory=list)
    refused: int = 0
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        for gateway in GATEWAYS:
            self.suspects[gateway] = suspects = Suspects()
            turns = TrialTurns(gateway, lambda own=gateway: [g for g in GATEWAYS if g != own])
            self.parts[gateway] = CrashingParts(suspects, turns)
            suspects.add_listener(
                lambda state, source, own=gateway: self._send(own, state, source)
            )

    def at(self, after_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (boottime_s() + after_s, next(self._numbers), action))

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - boottime_s()))
            action()

    def _send(self, sender: str, state: SuspectState, source: UpdateSource) -> None:
        if source is not UpdateSource.OWN:
            return
        for gateway, suspects in self.suspects.items():
            if gateway != sender:
                delay_s = self.rng.uniform(0.2, 1.0) * MESSAGE_S
                self.at(delay_s, lambda to=suspects: to.merge(state, UpdateSource.PEER))

    def call(self, gateway: str) -> None:
        """Receive a call with the part at a gateway, and send it unless it is refused."""
        parts = self.parts[gateway]
        parts.record_call([PART])
        if parts.check([PART]) is not None:
            self.refused += 1
            return
        replica = plain_replica(f'r{next(self._numbers)}')
        parts.record_sent([PART], replica)
        self.at(CRASH_S, lambda: self.crashed_s.append(boottime_s()))
        crash = ReplicaCrash(replica.replica_id)
        self.at(CRASH_S + DETECTION_S, lambda: self.suspects[gateway].record_crash(PART, crash))


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize(
    ('calls_per_s', 'played_s'), [(0.5, 20 * HOUR_S), (2.0, 4 * HOUR_S), (20.0, HOUR_S)]
)
def test_part_that_crashes_each_replica_is_not_tried_for_ever(
    calls_per_s: float, played_s: float, seed: int
) -> None:
    with virtual_clock() as clock:
        rng = random.Random(seed)
        fleet = Fleet(clock, rng)
        start_s = boottime_s()
        after_s = 0.0
        while after_s < played_s:
            fleet.at(after_s, functools.partial(fleet.call, rng.choice(GATEWAYS)))
            after_s += rng.expovariate(calls_per_s)
        fleet.run(start_s + played_s)
    fifth_s = fleet.crashed_s[KNOWN_AFTER_CRASHES - 1 :][:1] or [fleet.crashed_s[-1]]
    late = sum(at_s > fifth_s[0] + CONTACT_S for at_s in fleet.crashed_s)
    assert fleet.refused
    assert late <= MAX_LATE_CRASHES


def test_trials_whose_results_nobody_learns_become_rare() -> None:
    with virtual_clock() as clock:
        suspects = Suspects()
        for number in range(3):
            suspects.record_crash(PART, ReplicaCrash(f'r{number}'))
        parts = CrashingParts(suspects)
        trials = 0
        for _ in range(int(HOUR_S)):
            clock.advance(1.0)
            if parts.check([PART]) is None:
                parts.record_sent([PART], plain_replica(f't{trials}'))
                trials += 1
    assert trials <= KNOWN_AFTER_CRASHES - 3 + MAX_LATE_CRASHES

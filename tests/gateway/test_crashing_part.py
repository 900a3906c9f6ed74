"""Calls with a part of a prompt that crashes replicas are refused after a few crashes, others not.

Guards against calls of which no two are alike, and of which some share a part that crashes each
replica that begins to write an answer: no call is seen twice, so none is refused for its content,
and replicas crash for as long as such calls come.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from tests.support.fleet import FleetWorld, run_fleet

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

BAD_PART = 'bad0'
CRASH_TEXT = b'deadly'
CALLS_PER_S = 14
CRASHING_SHARE = 0.3
#: Time in which all gateways must know, and crashes allowed after that.
CONTACT_S = 3.0
MAX_LATE_CRASHES = 3
#: Crashes after which that time begins.
KNOWN_AFTER_CRASHES = 5
#: Least share of sound calls that are served once the crashes are known, relative to before.
LEAST_SHARE = 0.5


#: Callers that leave do so after this time, in seconds.
LEAVES_AFTER_S = (0.01, 0.06)


@attrs.define
class _Sent:
    at_s: float
    crashing: bool
    status: int


def _parts(number: int, rng: random.Random, *, crashing: bool) -> str:
    middle = BAD_PART if crashing else f'f{rng.randrange(6)}'
    return f'aa:40,{middle}:30,e{number:x}:30'


async def _send_for(
    world: FleetWorld,
    rng: random.Random,
    for_s: float,
    share: float,
    *,
    callers_leave: bool = False,
    calls_per_s: float = CALLS_PER_S,
) -> list[_Sent]:
    """Send calls of which no two are alike to random gateways.

    :param share: of the calls that have the part that crashes replicas.
    :param callers_leave: whether their callers leave before the crash.
    """
    loop = asyncio.get_running_loop()

    async def send(number: int, crashing: bool) -> _Sent:
        at_s = loop.time()
        body = b'%s %d' % (CRASH_TEXT if crashing else b'sound', number)
        call = world.call_at(
            rng.randrange(len(world.centres)),
            '/stream/x',
            body,
            Limeshelf_Model='m1',
            Limeshelf_Token_Count='100,20',
            Limeshelf_Prompt_Prefix=_parts(number, rng, crashing=crashing),
        )
        try:
            leaves_after_s = rng.uniform(*LEAVES_AFTER_S) if crashing and callers_leave else None
            return _Sent(at_s, crashing, await asyncio.wait_for(call, leaves_after_s))
        except TimeoutError:
            return _Sent(at_s, crashing, 0)

    calls = []
    for _ in range(int(for_s * calls_per_s)):
        number = rng.getrandbits(32)
        calls.append(asyncio.create_task(send(number, rng.random() < share)))
        await asyncio.sleep(1 / calls_per_s)
    return list(await asyncio.gather(*calls))


def _share_served(calls: list[_Sent], since_s: float = 0.0) -> float:
    sound = [call for call in calls if not call.crashing and call.at_s >= since_s]
    return sum(call.status == 200 for call in sound) / len(sound)


def _scenario(
    seed: int, *, callers_leave: bool = False, calls_per_s: float = CALLS_PER_S
) -> Callable[[FleetWorld], Coroutine[Any, Any, None]]:
    async def scenario(world: FleetWorld) -> None:
        rng = random.Random(seed)
        before = await _send_for(world, rng, 3.0, 0.0, calls_per_s=calls_per_s)
        calls = await _send_for(
            world, rng, 14.0, CRASHING_SHARE, callers_leave=callers_leave, calls_per_s=calls_per_s
        )
        known_s = world.ends[KNOWN_AFTER_CRASHES - 1 :][:1] or world.ends[-1:]
        late = sum(at_s > known_s[0] + CONTACT_S for at_s in world.ends)
        served = _share_served(calls, known_s[0] + 2 * CONTACT_S)
        assert late <= MAX_LATE_CRASHES
        assert served >= LEAST_SHARE * _share_served(before)

    return scenario


@pytest.mark.parametrize('seed', [4, 11])
def test_part_of_prompts_that_crashes_replicas_is_refused_and_sound_calls_are_served(
    seed: int,
) -> None:
    run_fleet(_scenario(seed), engines=6, crash_text=CRASH_TEXT)


@pytest.mark.parametrize('after_s', [0.3, 0.6])
def test_part_that_crashes_replicas_in_the_middle_of_answers_is_not_cleared_by_their_first_events(
    after_s: float,
) -> None:
    run_fleet(_scenario(4), engines=6, crash_text=CRASH_TEXT, crash_after_answer_s=after_s)


@pytest.mark.parametrize('seed', [4, 11])
def test_part_that_crashes_replicas_after_its_callers_left_is_refused(seed: int) -> None:
    # Few enough calls that each of them is alone at its replica.
    run_fleet(
        _scenario(seed, callers_leave=True, calls_per_s=6),
        engines=8,
        crash_text=CRASH_TEXT,
        crash_delay_s=0.1,
        centres=('z1', 'z1', 'z1', 'z2', 'z2', 'z2', 'z3', 'z3', 'z3'),
    )

"""For how long models that are asked for have had no copy."""

from __future__ import annotations

from limeshelf.placement.starvation import Starvation
from limeshelf.placement.survey import ReplicaCopies
from limeshelf.util.clock import virtual_clock
from tests.placement.builders import replica, seldom


def test_starvation_counts_from_the_first_call_without_a_copy() -> None:
    with virtual_clock() as clock:
        starvation = Starvation()
        waiting = {'rare': seldom(waits=True), 'other': seldom()}
        assert starvation.step('lm', waiting, [replica('r1', 'hot')]) == {'rare': 0.0}
        clock.advance(5.0)
        calm = {'rare': seldom()}
        assert starvation.step('lm', calm, [replica('r1', 'hot')]) == {'rare': 5.0}
        assert starvation.step('lm', calm, [ReplicaCopies('r1', set(), {'rare'}, False)]) == {}

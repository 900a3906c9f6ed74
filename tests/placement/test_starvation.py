"""For how long requested models have had no copy."""

from __future__ import annotations

import attrs

from limeshelf.placement.snapshot import ReplicaView
from limeshelf.placement.starvation import StarvationTracker
from limeshelf.util.clock import virtual_clock
from tests.placement.builders import rare_calls, replica


def test_starvation_lasts_while_a_model_goes_unserved_without_a_copy() -> None:
    with virtual_clock() as clock:
        starvation = StarvationTracker()
        waiting = {'rare': attrs.evolve(rare_calls(), unserved_s=2.0), 'other': rare_calls()}
        assert starvation.track('lm', waiting, [replica('r1', 'hot')]) == {'rare': 2.0}
        clock.advance(5.0)
        waiting['rare'] = attrs.evolve(rare_calls(), unserved_s=7.0)
        assert starvation.track('lm', waiting, [replica('r1', 'hot')]) == {'rare': 7.0}
        assert starvation.track('lm', waiting, [ReplicaView('r1', set(), {'rare'}, False)]) == {}
        clock.advance(1.5)
        waiting['rare'] = attrs.evolve(rare_calls(), unserved_s=8.5)
        assert starvation.track('lm', waiting, [replica('r1', 'hot')]) == {'rare': 1.5}


def test_new_leader_continues_with_its_predecessors_waiting_times() -> None:
    """If they started at zero, each change of leader would prolong starvation."""
    with virtual_clock():
        waiting = {'rare': attrs.evolve(rare_calls(), unserved_s=9.0)}
        assert StarvationTracker().track('lm', waiting, [replica('r1', 'hot')]) == {'rare': 9.0}

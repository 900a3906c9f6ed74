"""Every deployed model stays reachable: failing sequences found by the state machine."""

from __future__ import annotations

from tests.standalone.placement.test_reachable_machine import ReachableMachine


def test_replica_that_is_unloaded_in_a_round_is_not_made_the_anchor_in_it() -> None:
    """Guards against a data centre that evicts a replica and moves the anchor to it in one round.

    The other data centre, no longer the anchor, would then evict the last replica.
    """
    machine = ReachableMachine()
    try:
        _play(machine)
    finally:
        machine.teardown()


def _play(machine: ReachableMachine) -> None:
    machine.deploy()
    machine.toggle_drain(engine='y1')
    machine.act_in_turn(first='y', rounds=1, share_states=False)
    machine.act_in_turn(first='y', rounds=1, share_states=False)
    machine.act_in_turn(first='x', rounds=2, share_states=False)
    machine.toggle_drain(engine='y1')
    machine.act_in_turn(first='y', rounds=1, share_states=True)
    machine.restart_engine(engine='y1')
    machine.restart_engine(engine='y0')
    machine.toggle_drain(engine='y1')
    machine.act_in_turn(first='y', rounds=4, share_states=True)
    machine.toggle_drain(engine='x1')
    machine.toggle_drain(engine='x1')
    machine.restart_engine(engine='x1')
    machine.toggle_drain(engine='x0')
    machine.stays_ready()
    machine.act_in_turn(first='x', rounds=2, share_states=False)
    machine.stays_ready()
    machine.act_in_turn(first='y', rounds=1, share_states=False)
    machine.stays_ready()

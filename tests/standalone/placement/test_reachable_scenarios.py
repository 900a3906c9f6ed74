"""Every deployed model stays reachable: sequences that the state machine found, by name."""

from __future__ import annotations

from tests.standalone.placement.test_reachable_machine import ReachableMachine


def test_replica_that_is_unloaded_in_a_round_is_not_made_the_anchor_in_it() -> None:
    """One data centre evicts its replica and takes the anchor over to it in one round.

    The other one, whose replica is no longer the anchor, then evicts that as well.
    """
    machine = ReachableMachine()
    try:
        _play(machine)
    finally:
        machine.teardown()


def _play(machine: ReachableMachine) -> None:
    machine.deploy()
    machine.drain_or_not(engine='y1')
    machine.settle(first='y', rounds=1, told=False)
    machine.settle(first='y', rounds=1, told=False)
    machine.settle(first='x', rounds=2, told=False)
    machine.drain_or_not(engine='y1')
    machine.settle(first='y', rounds=1, told=True)
    machine.restart_engine(engine='y1')
    machine.restart_engine(engine='y0')
    machine.drain_or_not(engine='y1')
    machine.settle(first='y', rounds=4, told=True)
    machine.drain_or_not(engine='x1')
    machine.drain_or_not(engine='x1')
    machine.restart_engine(engine='x1')
    machine.drain_or_not(engine='x0')
    machine.stays_ready()
    machine.settle(first='x', rounds=2, told=False)
    machine.stays_ready()
    machine.settle(first='y', rounds=1, told=False)
    machine.stays_ready()

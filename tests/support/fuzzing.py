"""Hypothesis settings of the stateful tests."""

from __future__ import annotations

import os

from hypothesis import Phase, settings

#: Environment variable that turns shrinking off, for runs that only need pass or fail.
NO_SHRINK = 'LIMESHELF_NO_SHRINK'


def run_machine(machine, examples: int, steps: int) -> None:
    """Run a Hypothesis state machine with the same examples every time."""
    phases = [Phase.explicit, Phase.generate]
    if NO_SHRINK not in os.environ:
        phases.append(Phase.shrink)
    case = machine.TestCase
    case.settings = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        derandomize=True,
        database=None,
        phases=phases,
    )
    case('runTest').runTest()

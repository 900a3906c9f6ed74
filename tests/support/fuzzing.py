"""Settings of the state machines."""

from __future__ import annotations

import os

from hypothesis import Phase, settings

#: Set where only the verdict counts, not the smallest failing example.
NO_SHRINK = 'LIMESHELF_NO_SHRINK'


def run_machine(machine, examples: int, steps: int) -> None:
    """Run a state machine with examples that are the same every time."""
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

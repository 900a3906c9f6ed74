"""``make demo``: starts a standalone system, runs the demo's steps and leaves it running.

Shows new users the complete system on one machine; the README refers to it.
"""

from __future__ import annotations

import argparse
import signal
import sys
from typing import TYPE_CHECKING

from demo import steps
from standins.launcher import GIB, System

if TYPE_CHECKING:
    from collections.abc import Callable

DATA_CENTRES = ('kumamoto', 'oita')
#: Entry instances and engines in each data centre.
ENTRIES_PER_CENTRE = 3
ENGINES_PER_CENTRE = 2
ENGINE_BYTES = 80 * GIB


def start(system: System) -> str:
    """Start all processes; return a summary for the step's line."""
    engine = {'capacity_bytes': ENGINE_BYTES, 'load_s': 0.1}
    system.start_upstreams(
        {data_centre: [engine] * ENGINES_PER_CENTRE for data_centre in DATA_CENTRES},
        {data_centre: ['booking'] for data_centre in DATA_CENTRES},
    )
    system.start_instances(dict.fromkeys(DATA_CENTRES, ENTRIES_PER_CENTRE))
    programs = 3 * len(system.instances)
    instances, upstreams = len(system.instances), len(system.upstreams)
    return f'{programs} programs on {instances} instances, {upstreams} upstreams'


def run_steps(system: System) -> bool:
    """Run the steps in order up to the first failure; return whether all succeeded."""
    start_step: list[Callable[[], str]] = [lambda: start(system)]
    print(f'{"step":<22}{"holds":<7}what it showed')
    if not _run_step('start', start_step[0]):
        return False
    cli = steps.Cli(next(iter(system.instances.values())).rpc)
    named_steps: dict[str, Callable[[], str]] = {
        'apply': lambda: steps.apply_configuration(system, cli),
        'place': lambda: steps.await_models(system),
        'stream': lambda: steps.stream_answers(system),
        'book, and repeat': lambda: steps.book_slot(system),
        'swap a policy': lambda: steps.swap_policy(system, cli),
        'stop an instance': lambda: steps.stop_instance(system),
    }
    return all(_run_step(name, step) for name, step in named_steps.items())


def _run_step(name: str, step: Callable[[], str]) -> bool:
    try:
        summary = step()
    except (steps.StepFailed, TimeoutError, OSError) as error:
        print(f'{name:<22}{"NO":<7}{error}', flush=True)
        return False
    print(f'{name:<22}{"yes":<7}{summary}', flush=True)
    return True


def print_examples(system: System) -> None:
    """Print example commands for the running system."""
    instance = next(iter(system.instances.values()))
    print('\nThe system is up; Ctrl-C stops it. To try:\n')
    print(f'  curl {instance.url}/v1/models')
    messages = '[{"role": "user", "content": "hello"}]'
    body = f'{{"model": "summary-0", "stream": true, "messages": {messages}}}'
    print(f"  curl -N {instance.url}/v1/chat/completions -d '{body}'")
    print(f"  curl -i -H 'Idempotency-Key: k1' -d '{{}}' {instance.url}/booking/slots")
    print(f'  .venv/bin/limeshelf --address {instance.rpc} status')
    print(f'  .venv/bin/limeshelf --address {instance.rpc} explain summary-0')
    print(f'  .venv/bin/limeshelf --address {instance.rpc} history', flush=True)


def main() -> int:
    """Run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--once', action='store_true', help='end by itself after the steps')
    once = parser.parse_args().once
    with System() as system:
        succeeded = run_steps(system)
        if succeeded and not once:
            print_examples(system)
            signal.sigwait({signal.SIGINT, signal.SIGTERM})
    return 0 if succeeded else 1


if __name__ == '__main__':
    sys.exit(main())

"""``make entrysoak``: runs the standalone programs under seeded random faults.

The only run that exposes the entry, placer and admin programs to overlapping faults in random
order and then checks the callers' history; ``make soak`` and the users' benchmark run the
gateway instead. Seeds that were run: docs/proofs.rst.
"""

from __future__ import annotations

import argparse
import random
import signal
import sys
import time
from collections.abc import Callable

from standins.calls import get, post, wait_until
from tests.features.environment import World
from tests.support.history import count_runs_by_key, find_history_violations, recorded_overcommits
from tests.support.load import LoadGenerator

MODELS = [f'm{number}' for number in range(6)]
#: Minimum and maximum time between two faults, in seconds.
FAULT_PAUSE_S = (0.5, 2.0)
#: Time after the last fault within which the system must be ready again, in seconds.
RECOVERY_LIMIT_S = 90.0


class Soak:
    """A running system and its seeded fault injection."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.world = World({'unfenced', 'gates', 'lagging_list'})
        self.system = self.world.system
        self.injected: list[str] = []
        self.fault_kinds: list[Callable[[], str]] = [
            self.kill_programs,
            self.freeze_program,
            self.platform_outage,
            self.cut_centre,
            self.wrong_orders,
            self.broken_streams,
            self.broken_calls,
            self.lost_answers,
            self.change_versions,
            self.swap_policy,
            self.restart_engine,
        ]

    def engines(self) -> list[str]:
        """Return the names of the engines."""
        rows = self.system.upstreams.values()
        return [row.upstream_id for row in rows if row.line['kind'] == 'engine']

    def inject_fault(self) -> None:
        """Inject one random fault."""
        kind = self.random.choice(self.fault_kinds)
        fault = f'{kind.__name__}: {kind()}'
        self.injected.append(fault)
        print(f'  {fault}', flush=True)

    def kill_programs(self) -> str:
        """Kill one instance and replace it."""
        instance = self.random.choice(list(self.system.instances.values()))
        for started in instance.programs.values():
            started.kill()
        replacement = self.system.launch(instance.instance_id, instance.data_centre)
        self.system.await_started(replacement)
        self.system.list_entry(replacement)
        return instance.instance_id

    def freeze_program(self) -> str:
        """Suspend one program, possibly for longer than its lease, and resume it."""
        instance = self.random.choice(list(self.system.instances.values()))
        name = self.random.choice(sorted(instance.programs))
        instance.programs[name].signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(1.0, 6.0))
        instance.programs[name].signal(signal.SIGCONT)
        return f'{instance.instance_id}/{name}'

    def platform_outage(self) -> str:
        """Make the platform unavailable for a time."""
        seconds = self.random.uniform(0.5, 4.0)
        self.system.set_faults('platform', '_faults', down=True)
        time.sleep(seconds)
        self.system.set_faults('platform', '_faults', down=False)
        return f'{seconds:.1f} s'

    def cut_centre(self) -> str:
        """Disconnect a data centre from the platform, and at times from its peers too."""
        centre = self.random.choice(['x', 'y'])
        peers = self.random.random() < 0.5
        self.system.set_faults('platform', '_faults', cut_centres=[centre])
        if peers:
            self.system.set_partitioned(True)
        time.sleep(self.random.uniform(1.0, 5.0))
        self.system.set_faults('platform', '_faults', cut_centres=[])
        if peers:
            self.system.set_partitioned(False)
        return f'{centre}, peers too: {peers}'

    def wrong_orders(self) -> str:
        """Lose, delay or duplicate the next orders to an engine."""
        name = self.random.choice(self.engines())
        kind = self.random.choice(['lost', 'late', 'doubled'])
        late_s = self.random.uniform(0.2, 3.0)
        self.system.set_faults(name, '_order_faults', late_s=late_s, **{kind: 2})
        return f'{name} {kind}'

    def broken_streams(self) -> str:
        """Corrupt the next streamed responses of an engine."""
        name = self.random.choice(self.engines())
        kind = self.random.choice(['cut', 'foreign', 'skipped', 'doubled'])
        self.system.set_faults(name, '_stream_faults', **{kind: 3})
        return f'{name} {kind}'

    def broken_calls(self) -> str:
        """Make the next calls to the plain services fail."""
        kind = self.random.choice(['die_before', 'die_after', 'cut', 'busy'])
        for row in self.system.upstreams.values():
            if row.line['kind'] == 'plain':
                self.system.set_faults(row.upstream_id, '_call_faults', **{kind: 3})
        return kind

    def lost_answers(self) -> str:
        """Lose the responses to the next transactions after they took effect."""
        self.system.set_faults('platform', '_faults', path_prefix='/transact', lose_answers=3)
        time.sleep(0.5)
        self.system.set_faults('platform', '_faults', path_prefix='/', lose_answers=0)
        return 'of transactions'

    def change_versions(self) -> str:
        """Change the versions of two models."""
        names = self.random.sample(MODELS, 2)
        for deployment in self.world.document['deployments']:
            if deployment['name'] in names:
                deployment['version'] = str(int(deployment['version']) + 1)
        return f'{names}, exit code {self.world.apply(self._instance())[0]}'

    def swap_policy(self) -> str:
        """Swap the placement policy."""
        policy = self.random.choice(['swap', 'swap', 'turns'])
        kind = 'routing' if policy == 'turns' else 'placement'
        code = self.world.cli('policy', 'swap', kind, policy, instance=self._instance())[0]
        # Later applies of the document must not revert the swap.
        bindings = self.world.document.setdefault('bindings', [])
        if code == 0:
            bindings[:] = [b for b in bindings if b['name'] != kind]
            bindings.append({'name': kind, 'policy': policy})
        return f'{kind} {policy}, exit code {code}'

    def restart_engine(self) -> str:
        """Restart an engine, which loses its memory contents and its fence."""
        name = self.random.choice(self.engines())
        post(f'{self.system.upstreams[name].child.http}/_restart', {})
        return name

    def _instance(self) -> str:
        return self.random.choice(sorted(self.system.instances))

    def close(self) -> None:
        """Stop all processes."""
        self.system.close()


def has_recovered(soak: Soak) -> bool:
    """Return whether all instances are at the same revision and all models are ready."""
    revisions = {get(f'{i.url}/ready')['revision'] for i in soak.system.instances.values()}
    return len(revisions) == 1 and soak.world.all_ready()


def run(seed: int, seconds: float) -> int:
    """Run one soak and print its results; return the number of violations."""
    print(f'seed {seed}, {seconds:g} s', flush=True)
    soak = Soak(seed)
    try:
        assert soak.world.apply()[0] == 0
        soak.world.await_ready()
        with LoadGenerator(soak.system, MODELS, seed=seed) as load:
            end_s = time.monotonic() + seconds
            while time.monotonic() < end_s:
                soak.inject_fault()
                time.sleep(soak.random.uniform(*FAULT_PAUSE_S))
        try:
            took_s = wait_until(lambda: has_recovered(soak), RECOVERY_LIMIT_S, pause_s=0.2)
            unrecovered = []
        except TimeoutError:
            took_s, unrecovered = RECOVERY_LIMIT_S, ['not recovered']
        return report(soak, load, took_s, unrecovered)
    finally:
        soak.close()


def report(soak: Soak, load: LoadGenerator, took_s: float, unrecovered: list[str]) -> int:
    """Print the result of each check; return the number of violations."""
    found = {
        'memory never overcommitted': recorded_overcommits(soak.system),
        'history of callers and upstreams': find_history_violations(
            load.history, count_runs_by_key(soak.system)
        ),
        f'recovered after {took_s:.1f} s': unrecovered,
    }
    for check, violations in found.items():
        print(f'{"holds" if not violations else "FAILS"}  {check}')
        for violation in violations[:5]:
            print(f'       {violation}')
    print(f'{len(soak.injected)} faults injected; {dict(load.outcomes())}', flush=True)
    return sum(map(len, found.values()))


def main() -> int:
    """Parse the arguments and run the soak."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30.0)
    arguments = parser.parse_args()
    return 1 if run(arguments.seed, arguments.seconds) else 0


if __name__ == '__main__':
    sys.exit(main())

"""``make entrysoak``: the own wire's programs under seeded random faults.

The only run in which entry, placer and admin programs meet faults in random order and
overlap, with the history of the callers checked afterwards; the users' bench and
``make soak`` play the gateway. Seeds that were played: docs/proofs.rst.
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
from tests.support.history import faults_of, key_runs, overcommits
from tests.support.load import Load

MODELS = [f'm{number}' for number in range(6)]
#: Least and longest pause between two faults. Chosen, not measured.
FAULT_PAUSE_S = (0.5, 2.0)
#: Everything is ready again within this time after the last fault. Chosen, not measured.
RECOVERY_LIMIT_S = 90.0


class Soak:
    """A running system and the faults that strike it, drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.world = World({'unfenced', 'gates', 'lagging_list'})
        self.system = self.world.system
        self.struck: list[str] = []
        self.kinds: list[Callable[[], str]] = [
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

    def strike(self) -> None:
        """Draw one fault and let it strike."""
        kind = self.random.choice(self.kinds)
        what = f'{kind.__name__}: {kind()}'
        self.struck.append(what)
        print(f'  {what}', flush=True)

    def kill_programs(self) -> str:
        """Kill one instance and put a fresh one in its place."""
        instance = self.random.choice(list(self.system.instances.values()))
        for started in instance.programs.values():
            started.kill()
        fresh = self.system.launch(instance.instance_id, instance.data_centre)
        self.system.await_started(fresh)
        self.system.list_entry(fresh)
        return instance.instance_id

    def freeze_program(self) -> str:
        """Freeze one program past its lease and wake it."""
        instance = self.random.choice(list(self.system.instances.values()))
        name = self.random.choice(sorted(instance.programs))
        instance.programs[name].signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(1.0, 6.0))
        instance.programs[name].signal(signal.SIGCONT)
        return f'{instance.instance_id}/{name}'

    def platform_outage(self) -> str:
        """Take the platform down for a while."""
        seconds = self.random.uniform(0.5, 4.0)
        self.system.set_faults('platform', '_faults', down=True)
        time.sleep(seconds)
        self.system.set_faults('platform', '_faults', down=False)
        return f'{seconds:.1f} s'

    def cut_centre(self) -> str:
        """Cut a data centre off from the platform, the peers, or both."""
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
        """Make the next orders to an engine go wrong."""
        name = self.random.choice(self.engines())
        kind = self.random.choice(['lost', 'late', 'doubled'])
        late_s = self.random.uniform(0.2, 3.0)
        self.system.set_faults(name, '_order_faults', late_s=late_s, **{kind: 2})
        return f'{name} {kind}'

    def broken_streams(self) -> str:
        """Break the next answers of an engine."""
        name = self.random.choice(self.engines())
        kind = self.random.choice(['cut', 'foreign', 'skipped', 'doubled'])
        self.system.set_faults(name, '_stream_faults', **{kind: 3})
        return f'{name} {kind}'

    def broken_calls(self) -> str:
        """Break the next calls to the plain services."""
        kind = self.random.choice(['die_before', 'die_after', 'cut', 'busy'])
        for row in self.system.upstreams.values():
            if row.line['kind'] == 'plain':
                self.system.set_faults(row.upstream_id, '_call_faults', **{kind: 3})
        return kind

    def lost_answers(self) -> str:
        """Lose the answers to the next transactions after their effect."""
        self.system.set_faults('platform', '_faults', path_prefix='/transact', lose_answers=3)
        time.sleep(0.5)
        self.system.set_faults('platform', '_faults', path_prefix='/', lose_answers=0)
        return 'of transactions'

    def change_versions(self) -> str:
        """Give some models a new version."""
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
        # What the document says from now on must agree with what is in force.
        bindings = self.world.document.setdefault('bindings', [])
        if code == 0:
            bindings[:] = [b for b in bindings if b['name'] != kind]
            bindings.append({'name': kind, 'policy': policy})
        return f'{kind} {policy}, exit code {code}'

    def restart_engine(self) -> str:
        """Restart an engine: it forgets its memory and its fence."""
        name = self.random.choice(self.engines())
        post(f'{self.system.upstreams[name].child.http}/_restart', {})
        return name

    def _instance(self) -> str:
        return self.random.choice(sorted(self.system.instances))

    def close(self) -> None:
        """End all processes."""
        self.system.close()


def settled(soak: Soak) -> bool:
    """Return whether every instance is at one revision and everything is ready."""
    revisions = {get(f'{i.url}/ready')['revision'] for i in soak.system.instances.values()}
    return len(revisions) == 1 and soak.world.all_ready()


def run(seed: int, seconds: float) -> int:
    """Run one soak; print a line for each point; return the number of faults found."""
    print(f'seed {seed}, {seconds:g} s', flush=True)
    soak = Soak(seed)
    try:
        assert soak.world.apply()[0] == 0
        soak.world.await_ready()
        with Load(soak.system, MODELS, seed=seed) as load:
            end_s = time.monotonic() + seconds
            while time.monotonic() < end_s:
                soak.strike()
                time.sleep(soak.random.uniform(*FAULT_PAUSE_S))
        try:
            took_s = wait_until(lambda: settled(soak), RECOVERY_LIMIT_S, pause_s=0.2)
            unsettled = []
        except TimeoutError:
            took_s, unsettled = RECOVERY_LIMIT_S, ['not back to normal']
        return report(soak, load, took_s, unsettled)
    finally:
        soak.close()


def report(soak: Soak, load: Load, took_s: float, unsettled: list[str]) -> int:
    """Print what held and what did not."""
    found = {
        'memory never overcommitted': overcommits(soak.system),
        'history of callers and upstreams': faults_of(load.history, key_runs(soak.system)),
        f'back to normal after {took_s:.1f} s': unsettled,
    }
    for point, faults in found.items():
        print(f'{"holds" if not faults else "FAILS"}  {point}')
        for fault in faults[:5]:
            print(f'       {fault}')
    print(f'{len(soak.struck)} faults struck; {dict(load.outcomes())}', flush=True)
    return sum(map(len, found.values()))


def main() -> int:
    """Read the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30.0)
    arguments = parser.parse_args()
    return 1 if run(arguments.seed, arguments.seconds) else 0


if __name__ == '__main__':
    sys.exit(main())

"""``make recovery``: how long the own wire's programs take to recover, under load.

The only source of the times themselves, for docs/CAPACITY.md; the features hold limits,
and the users' bench times the gateway.
"""

from __future__ import annotations

import time
from typing import Any

from standins.calls import get, wait_until
from tests.features.environment import World
from tests.support.history import count_runs_by_key, find_history_violations
from tests.support.load import LoadGenerator

MODELS = [f'm{number}' for number in range(6)]
REPEATS = 3


class Recovery:
    """A system under load whose failures are timed."""

    def __init__(self) -> None:
        self.world = World(set())
        self.system = self.world.system
        assert self.world.apply()[0] == 0
        self.world.await_ready()
        self.load = LoadGenerator(self.system, MODELS)

    def lost(self, since: int) -> str:
        """Return what became of the calls noted since."""
        outcomes: dict[str, int] = {}
        for call in self.load.history[since:]:
            name = f'{call.kind} {call.outcome}'
            outcomes[name] = outcomes.get(name, 0) + 1
        return ', '.join(f'{count} {name}' for name, count in sorted(outcomes.items()))

    def lease(self) -> dict[str, Any]:
        """Return the lease row of the data centre x."""
        return get(f'{self.system.platform.http}/rows/lease%2Fplacer%2Fx')['value']

    def leader(self) -> str:
        """Return the instance whose placer holds the lease of x."""
        mark = f'state=held epoch={self.lease()["epoch"]}'
        names = [n for n, i in self.system.instances.items() if i.data_centre == 'x']
        return next(n for n in names if mark in self.system.instances[n].programs['placer'].log())

    def orders(self) -> int:
        """Return the orders taken by the engines of x."""
        return sum(
            len([o for o in self.system.record(name)['orders'] if o['action'] != 'fence'])
            for name in self.system.upstreams
            if name.startswith('x-engine')
        )

    def placer_killed(self) -> float:
        """Kill the leader with work waiting; time until the next order."""
        name = self.leader()
        self.system.instances[name].programs['placer'].kill()
        started_s = time.monotonic()
        for deployment in self.world.document['deployments']:
            deployment['version'] = str(int(deployment['version']) + 1)
        assert self.world.apply('y-0')[0] == 0
        before = self.orders()
        wait_until(lambda: self.orders() > before, 30)
        took_s = time.monotonic() - started_s
        self.replace(name)
        self.world.await_ready(60)
        return took_s

    def replace(self, name: str) -> None:
        """Put a fresh instance in the place of one."""
        instance = self.system.instances[name]
        for started in instance.programs.values():
            if started.process.poll() is None:
                started.stop()
        fresh = self.system.launch(name, instance.data_centre)
        self.system.await_started(fresh)
        self.system.list_entry(fresh)
        wait_until(lambda: get(f'{fresh.url}/ready')['phase'] == 'serving')

    def commit(self) -> float:
        """Commit a change; time until it is in force at every instance."""
        first = self.world.document['deployments'][0]
        first['first_token_target_s'] = first.get('first_token_target_s', 1.5) + 0.1
        started_s = time.monotonic()
        code, reply = self.world.apply()
        assert code == 0
        revision = int(reply['revision'])
        wait_until(lambda: set(self.world.revisions().values()) == {revision}, 20, pause_s=0.005)
        return time.monotonic() - started_s

    def platform_returns(self) -> float:
        """Take the platform down for 5 s; time from its return to a change in force."""
        self.system.fault('platform', '_faults', down=True)
        time.sleep(5.0)
        self.system.fault('platform', '_faults', down=False)
        started_s = time.monotonic()
        while True:
            try:
                self.commit()
                return time.monotonic() - started_s
            except AssertionError:
                time.sleep(0.05)

    def engine_killed(self) -> float:
        """Kill an engine; time until its models are ready elsewhere."""
        name = 'y-engine1'
        self.system.upstreams[name].started.kill()
        started_s = time.monotonic()
        self.system.unlist(name)
        del self.system.upstreams[name]
        self.world.await_ready(60)
        return time.monotonic() - started_s


def main() -> None:
    """Time each failure and print a row for it."""
    recovery = Recovery()
    try:
        print(f'{"from":<44}{"seconds":<24}calls meanwhile')
        with recovery.load:
            wait_until(lambda: len(recovery.load.history) > 40)
            rows = {
                'commit to in force at 4 instances': (recovery.commit, REPEATS),
                'kill of the leading placer to next order': (recovery.placer_killed, REPEATS),
                'return of the platform to a change in force': (
                    recovery.platform_returns,
                    REPEATS,
                ),
                'death of an engine to all models ready': (recovery.engine_killed, 1),
            }
            for name, (action, repeats) in rows.items():
                since = len(recovery.load.history)
                times = [action() for _ in range(repeats)]
                shown = ' '.join(f'{seconds:.2f}' for seconds in times)
                print(f'{name:<44}{shown:<24}{recovery.lost(since)}', flush=True)
        faults = find_history_violations(recovery.load.history, count_runs_by_key(recovery.system))
        print(f'{len(faults)} faults in the history of {len(recovery.load.history)} calls')
        for fault in faults[:5]:
            print(f'  {fault}')
    finally:
        recovery.system.close()


if __name__ == '__main__':
    main()

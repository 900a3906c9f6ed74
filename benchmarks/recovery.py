"""``make recovery``: recovery times of the standalone programs under load.

Measures the times for docs/CAPACITY.md; the features only check upper limits, and the
gateway is measured by the users' bench.
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
    """A system under load, with timed failures."""

    def __init__(self) -> None:
        self.world = World(set())
        self.system = self.world.system
        assert self.world.apply()[0] == 0
        self.world.await_ready()
        self.load = LoadGenerator(self.system, MODELS)

    def outcomes_since(self, since: int) -> str:
        """Return the outcomes of the calls from index *since* of the history, as text."""
        outcomes: dict[str, int] = {}
        for call in self.load.history[since:]:
            name = f'{call.kind} {call.outcome}'
            outcomes[name] = outcomes.get(name, 0) + 1
        return ', '.join(f'{count} {name}' for name, count in sorted(outcomes.items()))

    def lease(self) -> dict[str, Any]:
        """Return the placer lease row of data centre x."""
        return get(f'{self.system.platform.http}/rows/lease%2Fplacer%2Fx')['value']

    def leader(self) -> str:
        """Return the id of the instance whose placer holds the lease of data centre x."""
        log_marker = f'state=held epoch={self.lease()["epoch"]}'
        names = [n for n, i in self.system.instances.items() if i.data_centre == 'x']
        return next(
            n for n in names if log_marker in self.system.instances[n].programs['placer'].log()
        )

    def order_count(self) -> int:
        """Return the number of orders, except fences, received by the engines of x."""
        return sum(
            len([o for o in self.system.record(name)['orders'] if o['action'] != 'fence'])
            for name in self.system.upstreams
            if name.startswith('x-engine')
        )

    def time_placer_kill(self) -> float:
        """Kill the leader and create work for it; return the seconds until the next order."""
        name = self.leader()
        self.system.instances[name].programs['placer'].kill()
        started_s = time.monotonic()
        for deployment in self.world.document['deployments']:
            deployment['version'] = str(int(deployment['version']) + 1)
        assert self.world.apply('y-0')[0] == 0
        before = self.order_count()
        wait_until(lambda: self.order_count() > before, 30)
        took_s = time.monotonic() - started_s
        self.replace(name)
        self.world.await_ready(60)
        return took_s

    def replace(self, name: str) -> None:
        """Stop an instance and start a new one under its id."""
        instance = self.system.instances[name]
        for started in instance.programs.values():
            if started.process.poll() is None:
                started.stop()
        fresh = self.system.launch(name, instance.data_centre)
        self.system.await_started(fresh)
        self.system.list_entry(fresh)
        wait_until(lambda: get(f'{fresh.url}/ready')['phase'] == 'serving')

    def time_commit(self) -> float:
        """Commit a change; return the seconds until it is in force at every instance."""
        first = self.world.document['deployments'][0]
        first['first_token_target_s'] = first.get('first_token_target_s', 1.5) + 0.1
        started_s = time.monotonic()
        code, reply = self.world.apply()
        assert code == 0
        revision = int(reply['revision'])
        wait_until(lambda: set(self.world.revisions().values()) == {revision}, 20, pause_s=0.005)
        return time.monotonic() - started_s

    def time_platform_return(self) -> float:
        """Take the platform down for 5 s; return the seconds from its end to a change in force."""
        self.system.set_faults('platform', '_faults', down=True)
        time.sleep(5.0)
        self.system.set_faults('platform', '_faults', down=False)
        started_s = time.monotonic()
        while True:
            try:
                self.time_commit()
                return time.monotonic() - started_s
            except AssertionError:
                time.sleep(0.05)

    def time_engine_kill(self) -> float:
        """Kill an engine; return the seconds until its models are ready on other engines."""
        name = 'y-engine1'
        self.system.upstreams[name].child.kill()
        started_s = time.monotonic()
        self.system.unlist(name)
        del self.system.upstreams[name]
        self.world.await_ready(60)
        return time.monotonic() - started_s


def main() -> None:
    """Measure the recovery from each failure and print a row for it."""
    recovery = Recovery()
    try:
        print(f'{"from":<44}{"seconds":<24}calls meanwhile')
        with recovery.load:
            wait_until(lambda: len(recovery.load.history) > 40)
            rows = {
                'commit to in force at 4 instances': (recovery.time_commit, REPEATS),
                'kill of the leading placer to next order': (recovery.time_placer_kill, REPEATS),
                'return of the platform to a change in force': (
                    recovery.time_platform_return,
                    REPEATS,
                ),
                'death of an engine to all models ready': (recovery.time_engine_kill, 1),
            }
            for name, (action, repeats) in rows.items():
                since = len(recovery.load.history)
                times = [action() for _ in range(repeats)]
                times_text = ' '.join(f'{seconds:.2f}' for seconds in times)
                print(f'{name:<44}{times_text:<24}{recovery.outcomes_since(since)}', flush=True)
        faults = find_history_violations(recovery.load.history, count_runs_by_key(recovery.system))
        print(f'{len(faults)} faults in the history of {len(recovery.load.history)} calls')
        for fault in faults[:5]:
            print(f'  {fault}')
    finally:
        recovery.system.close()


if __name__ == '__main__':
    main()

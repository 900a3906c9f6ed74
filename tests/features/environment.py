"""Behave hooks that run a system of real processes for each feature."""

from __future__ import annotations

import json
import subprocess
import sys

from standins.calls import get, wait_until
from standins.launcher import GIB, System

MODELS = 6
DOCUMENT = {
    'deployments': [
        {
            'name': f'm{number}',
            'version': '1',
            'weights_bytes': 8 * GIB,
            'adapters': [{'name': 'a', 'weights_bytes': GIB}],
            'priority_class': ('high', 'normal', 'low')[number % 3],
        }
        for number in range(MODELS)
    ],
    'policies': [
        {'name': 'turns', 'kind': 'routing', 'implementation': 'round-robin'},
        {'name': 'least', 'kind': 'routing', 'implementation': 'least-connections'},
        {'name': 'swap', 'kind': 'placement', 'implementation': 'least-recently-used'},
    ],
    'routes': [{'name': 'booking', 'path_prefix': '/booking', 'service': 'booking'}],
}
ENGINE = {'capacity_bytes': 40 * GIB, 'load_s': 0.05}


class World:
    """A running system and the state that its steps share."""

    def __init__(self, tags: set[str]) -> None:
        settings = {'platform.timeout_s': 0.5}
        if 'short_drain' in tags:
            settings['entry.drain_limit_s'] = 10.0
        self.system = System(
            settings, lag_s=1.0 if 'lagging_list' in tags else 0.0, gates='gates' in tags
        )
        engine = {**ENGINE, 'checks_fence': 'unfenced' not in tags}
        if 'slow_engines' in tags:
            slow = {'slots': 4, 'first_token_s': 0.02, 'token_s': 0.01}
            engine = {**engine, **slow}
        engines = {'x': [engine, engine], 'y': [engine, engine]}
        self.system.start_upstreams(engines, {'x': ['booking'], 'y': ['booking']})
        self.system.start_instances({'x': 2, 'y': 2})
        self.document = json.loads(json.dumps(DOCUMENT))
        self.facts: dict = {}

    def cli(self, *words: str, instance: str = 'x-0') -> tuple[int, dict]:
        """Run the admin command line; return its exit code and JSON output."""
        command = [
            sys.executable,
            '-c',
            'from limeshelf.standalone.programs.cli import main; main()',
        ]
        address = self.system.instances[instance].rpc
        completed = subprocess.run(
            [*command, '--address', address, '--json', *words],
            capture_output=True,
            text=True,
            timeout=30,
        )
        return completed.returncode, json.loads(completed.stdout) if completed.stdout else {}

    def apply(self, instance: str = 'x-0', *words: str) -> tuple[int, dict]:
        """Apply the current document; return the exit code and JSON output."""
        path = self.system.folder / 'document.json'
        path.write_text(json.dumps(self.document))
        return self.cli('apply', str(path), *words, instance=instance)

    def revisions(self) -> dict[str, int]:
        """Return the revision that each instance reports as in force, by instance."""
        return {
            name: get(f'{instance.url}/v1/models') and get(f'{instance.url}/ready')['revision']
            for name, instance in self.system.instances.items()
        }

    def all_ready(self) -> bool:
        """Return whether all deployed items are loaded and every instance lists them as ready."""
        if not self._deployed_items() <= self._held_items():
            return False
        wanted = 2 * len(self.document['deployments'])
        for instance in self.system.instances.values():
            rows = get(f'{instance.url}/v1/models')['data']
            if len(rows) != wanted or not all(row['ready'] for row in rows):
                return False
        return True

    def _deployed_items(self) -> set[str]:
        bases = [f'{d["name"]}@{d["version"]}' for d in self.document['deployments']]
        return {*bases, *(f'{base}+a' for base in bases)}

    def _held_items(self) -> set[str]:
        return {
            item['item_id']
            for upstream in self.system.upstreams.values()
            if upstream.line['kind'] == 'engine'
            for item in self.system.record(upstream.upstream_id)['items']
            if item['state'] == 'ready'
        }

    def await_ready(self, limit_s: float = 30.0) -> float:
        """Wait until every model and adapter is ready; return the time taken in seconds."""
        return wait_until(self.all_ready, limit_s, pause_s=0.1)


def before_feature(context, feature) -> None:
    """Start a system as configured by the feature's tags."""
    context.world = World(set(feature.tags))
    assert context.world.apply()[0] == 0
    context.world.await_ready()


def after_feature(context, feature) -> None:
    """Stop the feature's processes."""
    context.world.system.close()

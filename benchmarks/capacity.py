"""``make capacity``: cost of the standalone programs against size, for docs/CAPACITY.md.

Covers sizes beyond what one machine can run as processes: it times single functions on
synthetic directories and views, and measures small sets of programs.
"""

from __future__ import annotations

import gc
import socket
import threading
import time
from pathlib import Path

import attrs

from benchmarks.processes import cpu_s, resident_bytes
from benchmarks.slopes import Slope, best_ms
from limeshelf.peers.codec import Envelope, decode, encode
from limeshelf.standalone.config.catalog import Catalog
from limeshelf.standalone.config.delta import Change, apply_changes, diff, document_to_json
from limeshelf.standalone.config.document import (
    Adapter,
    Deployment,
    Document,
    Policy,
    PolicyKind,
    PriorityClass,
)
from limeshelf.standalone.config.items import items_of
from limeshelf.standalone.membership.upstreams import UpstreamDirectory
from limeshelf.standalone.messages import ConfigChanges, UpstreamState, UpstreamStates
from limeshelf.standalone.placement.planner import Planner
from limeshelf.standalone.placement.policies import placement_policies
from limeshelf.standalone.placement.view import AnchorView, EngineView, PlacementView, UnitView
from limeshelf.standalone.routing.candidates import engine_candidates
from limeshelf.standalone.routing.loads import UpstreamLoads
from limeshelf.standalone.services.instances import Listed, ListedKind
from standins.calls import wait_until
from standins.launcher import System

#: Measured sizes; the largest of the first three are close to those in docs/CAPACITY.md.
MODELS = (100, 400, 1600)
REPLICAS = (260, 1050, 4200)
ENGINES = (20, 60, 180)
INSTANCES = (2, 4, 8)
#: Number of ready items on each engine.
ITEMS_PER_ENGINE = 8
OUTPUT = Path(__file__).parent.parent / 'docs' / 'capacity-slopes.md'
#: Time for which a system warms up before it is measured.
WARM_UP_S = 12.0
#: Duration of the measurement (docs/CAPACITY.md).
MEASURE_S = 10.0


def document(models: int) -> Document:
    """Return a configuration with this number of models and five adapters for each."""
    adapters = [Adapter(f'a{n}', 1) for n in range(5)]
    return Document([Deployment(f'm{n}', '1', 10, adapters=adapters) for n in range(models)])


def directory(replicas: int) -> UpstreamDirectory:
    """Return a directory of *replicas* engines with ``ITEMS_PER_ENGINE`` ready items each."""
    upstreams = UpstreamDirectory('x', 1e9)
    lines = [Listed(f'u{n}', ListedKind.ENGINE, 'x', address=f'a{n}') for n in range(replicas)]
    upstreams.take_listed(lines)
    for n in range(replicas):
        items = [f'm{(n * ITEMS_PER_ENGINE + k) % 1600}@1' for k in range(ITEMS_PER_ENGINE)]
        upstreams.take_state(UpstreamState(f'u{n}', 'b', 1, True, False, 0, items))
    return upstreams


def routing_slope() -> Slope:
    """Measure the time to find the candidates of a request, against known replicas."""
    points = []
    for replicas in REPLICAS:
        upstreams, loads = directory(replicas), UpstreamLoads()

        def find_candidates(upstreams=upstreams, loads=loads) -> None:
            for _ in range(20):
                engine_candidates(
                    'm7@1', PriorityClass.NORMAL, upstreams, loads, frozenset(), frozenset()
                )

        points.append((replicas, best_ms(find_candidates) / 20))
    return Slope.fit('entry: candidates of a request', 'replica', 'ms', points)


def directory_memory_slope() -> Slope:
    """Measure the memory of the upstream directory, against known replicas."""
    points = []
    for replicas in REPLICAS:
        gc.collect()
        before = resident_bytes_self()
        kept = [directory(replicas) for _ in range(4)]
        points.append((replicas, (resident_bytes_self() - before) / 4 / 1e6))
        del kept
    return Slope.fit('entry: upstream directory', 'replica', 'MB', points)


def resident_bytes_self() -> int:
    """Return the resident set size of this process."""
    import os

    return resident_bytes(os.getpid())


def config_slopes() -> list[Slope]:
    """Measure the cost of one configuration change, against deployed models."""
    swap, check, size = [], [], []
    for models in MODELS:
        before = document(models)
        plain = document_to_json(Deployment('m0', '2', 10))
        change = Change('deployments', 'm0', plain)

        def apply(before=before, change=change) -> None:
            Catalog.from_document(2, apply_changes(before, [change]))

        after = apply_changes(before, [change])
        swap.append((models, best_ms(apply, 3)))
        check.append((models, best_ms(lambda a=before, b=after: diff(a, b), 3)))
        frame = encode(Envelope('a', 'x', ConfigChanges(1, [[change]])))
        size.append((models, len(frame)))
    return [
        Slope.fit('every program: put a change in force', 'model', 'ms', swap),
        Slope.fit('admin: find what a change changes', 'model', 'ms', check),
        Slope.fit('peers: one change on the wire', 'model', 'bytes', size),
    ]


def view(models: int, own: int) -> PlacementView:
    """Return a stable placement of *models* models in a data centre with *own* engines."""
    units, anchors = {}, {}
    held: dict[str, set[str]] = {f'u{n}': set() for n in range(own)}
    for n, deployment in enumerate(document(models).deployments):
        items = tuple(items_of(deployment))
        units[deployment.name] = UnitView(deployment.name, items, 1, 0.5, frozenset(), 1.0)
        if n % 23 == 0:
            upstream_id = f'u{n % own}'
            held[upstream_id] |= {item.item_id for item in items}
            anchors[deployment.name] = AnchorView(upstream_id, 'x', False, False)
        else:
            anchors[deployment.name] = AnchorView('far', 'y', False, False)
    engines = {
        name: EngineView(name, 'x', True, True, 1000, 500, frozenset(ids), frozenset(ids), 0.5)
        for name, ids in held.items()
    }
    return PlacementView(0.0, 'x', units, engines, anchors, dict.fromkeys(units, 0))


def planning_ms(planner: Planner, models: int, own: int) -> float:
    """Return the time of one planning run."""
    seen = view(models, own)
    return best_ms(lambda: planner.plan(attrs.evolve(seen)), 3)


def planner_slopes() -> list[Slope]:
    """Measure the planning time of a placement round, against models and against engines."""
    policy = Policy('spread', PolicyKind.PLACEMENT, 'spread')
    planner = Planner(placement_policies.get('spread').from_config(policy))
    by_models = [(models, planning_ms(planner, models, 180)) for models in MODELS]
    by_engines = [(own, planning_ms(planner, 1600, own)) for own in ENGINES]
    return [
        Slope.fit('placer: plan of a round (180 engines)', 'model', 'ms', by_models),
        Slope.fit('placer: plan of a round (1,600 models)', 'engine', 'ms', by_engines),
    ]


def states_slopes() -> list[Slope]:
    """Measure the size and decoding time of a message with upstream states, against upstreams."""
    size, cost = [], []
    for count in ENGINES:
        states = [
            UpstreamState(f'x-engine{n}', 'boot-0123456789', 9, True, False, 3, None)
            for n in range(count)
        ]
        frame = encode(Envelope('127.0.0.1:12345', 'x', UpstreamStates('x', states)))
        size.append((count, len(frame)))
        cost.append((count, best_ms(lambda f=frame: decode(f))))
    return [
        Slope.fit('peers: load states of a data centre', 'upstream', 'bytes', size),
        Slope.fit('peers: decode these states', 'upstream', 'ms', cost),
    ]


class StatsdReceiver:
    """Receives StatsD gauges and keeps the latest value by sender port and name."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(('127.0.0.1', 0))
        self.port = self._socket.getsockname()[1]
        self.gauges: dict[tuple[int, str], float] = {}
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            data, (_, port) = self._socket.recvfrom(65536)
            for line in data.decode().split('\n'):
                name, _, rest = line.partition(':')
                value, _, kind = rest.partition('|')
                if kind.startswith('g'):
                    self.gauges[(port, name)] = float(value)

    def latest_by_port(self, name: str) -> dict[int, float]:
        """Return the latest values of a gauge by sender port."""
        return {port: value for (port, key), value in self.gauges.items() if key == name}


def process_slopes() -> list[Slope]:
    """Measure control traffic, processor time and memory of an entry, against processes."""
    sent, cpu, memory = [], [], []
    for count in INSTANCES:
        receiver = StatsdReceiver()
        settings = {'metrics.statsd_host': '127.0.0.1', 'metrics.statsd_port': receiver.port}
        with System(settings) as system:
            system.start_upstreams({'x': [{}] * 6}, {'x': []})
            system.start_instances({'x': count})
            name = 'limeshelf.entry.peers.sent_bytes'
            wait_until(lambda r=receiver, n=name, c=count: len(r.latest_by_port(n)) == c)
            time.sleep(WARM_UP_S)
            before = receiver.latest_by_port(name)
            pids = [i.programs['entry'].process.pid for i in system.instances.values()]
            cpu_before = sum(map(cpu_s, pids))
            time.sleep(MEASURE_S)
            after = receiver.latest_by_port(name)
            spent = sum(map(cpu_s, pids)) - cpu_before
            processes = 3 * count
            sent_bytes = sum(after[port] - before[port] for port in before)
            sent.append((processes, sent_bytes / count / MEASURE_S))
            cpu.append((processes, 100 * spent / count / MEASURE_S))
            memory.append((processes, sum(map(resident_bytes, pids)) / count / 1e6))
    return [
        Slope.fit('entry: control bytes sent a second', 'process of the centre', 'bytes/s', sent),
        Slope.fit('entry: idle processor time', 'process of the centre', '% of a core', cpu),
        Slope.fit('entry: resident memory', 'process of the centre', 'MB', memory),
    ]


def main() -> None:
    """Measure all slopes and write them to ``OUTPUT``."""
    slopes = [routing_slope(), directory_memory_slope(), *config_slopes(), *planner_slopes()]
    slopes += [*states_slopes(), *process_slopes()]
    rows = [slope.row() for slope in slopes]
    page = '\n'.join(
        [
            '| slope | points (size: cost) | fit | residual |',
            '| --- | --- | --- | --- |',
            *rows,
            '',
        ]
    )
    OUTPUT.write_text(page)
    print(page)


if __name__ == '__main__':
    main()

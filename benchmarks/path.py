"""``make bench``: requests through the entry program compared with direct ones to a stand-in.

Measures requests and tokens per core of an entry program, and its added latency, for
docs/CAPACITY.md; the gateway is measured by the users' bench.
"""

from __future__ import annotations

import json
import time

from benchmarks.processes import combined_results, cpu_s, quantile, resident_bytes, start_client
from standins.calls import get, post, wait_until
from standins.launcher import GIB, System

#: Number of load generator processes; enough that they are not the bottleneck.
CLIENTS = 3
#: Duration of each measurement.
DURATION_S = 4.0
#: Time for which programs are measured without load.
IDLE_DURATION_S = 10.0
#: Length of each answer in the measurements of tokens.
STREAM_TOKENS = 200


class MeasuredPath:
    """An entry instance in front of one engine and one plain service."""

    def __init__(self, system: System) -> None:
        engine = {'first_token_s': 0.0, 'token_s': 0.0, 'slots': 1000}
        system.start_upstreams({'x': [engine]}, {'x': ['booking']})
        system.start_instances({'x': 1})
        self.instance = system.instances['x-0']
        self.entry = self.instance.programs['entry']
        self.engine = system.upstreams['x-engine0'].child
        self.plain = system.upstreams['x-booking0'].child
        document = {
            'deployments': [{'name': 'm0', 'version': '1', 'weights_bytes': GIB}],
            'routes': [{'name': 'b', 'path_prefix': '/booking', 'service': 'booking'}],
            'policies': [{'name': 'all', 'kind': 'admission', 'implementation': 'always'}],
            'bindings': [{'name': 'admission', 'policy': 'all'}],
        }
        from limeshelf.admin import admin_pb2 as pb
        from limeshelf.standalone.admin.client import Connection

        request = pb.ApplyRequest(
            operation=pb.Operation(operation_id='bench', operator='bench', based_on=-1),
            document=json.dumps(document).encode(),
        )
        Connection(self.instance.rpc).call('Apply', request)
        wait_until(lambda: get(f'{self.instance.url}/v1/models')['data'][0]['ready'])

    def url(self, kind: str) -> str:
        """Return the base URL for requests of a kind."""
        if kind.startswith('through'):
            return self.instance.url
        return self.plain.http if kind.endswith('plain') else self.engine.http

    def load(self, kind: str, **options: float) -> dict:
        """Run the load generators; return their results and the processor time of the entry."""
        before_s = cpu_s(self.entry.process.pid)
        clients = [start_client(self.url(kind), kind, **options) for _ in range(CLIENTS)]
        found = combined_results(clients)
        found['entry_cpu_s'] = cpu_s(self.entry.process.pid) - before_s
        return found


def print_idle_cost(system: System, path: MeasuredPath) -> None:
    """Print the memory and processor time of each program without load."""
    print('\nidle          resident MB  % of a core')
    programs = path.instance.programs
    before = {name: cpu_s(started.process.pid) for name, started in programs.items()}
    time.sleep(IDLE_DURATION_S)
    for name, started in programs.items():
        used = (cpu_s(started.process.pid) - before[name]) / IDLE_DURATION_S
        resident = resident_bytes(started.process.pid) / 1e6
        print(f'{name:<14}{resident:>11.1f}{used * 100:>13.2f}')


def print_rates(
    path: MeasuredPath, what: str, kinds: tuple[str, str], unit: int, **options: float
) -> float:
    """Print the highest rates, direct and through the entry; return the latter."""
    direct = path.load(kinds[0], **options)
    through = path.load(kinds[1], **options)
    per_cpu_s = through['done'] * unit / through['entry_cpu_s']
    print(
        f'{what:<26}{direct["per_s"] * unit:>10.0f}{through["per_s"] * unit:>10.0f}'
        f'{through["per_s"] / direct["per_s"]:>8.2f}{per_cpu_s:>16.0f}{through["failed"]:>8}'
    )
    return through['per_s']


def print_latency(path: MeasuredPath, rate_per_s: float) -> None:
    """Print the time to the first byte that the entry adds at a request rate."""
    print(f'\ntime to first byte at {rate_per_s:.0f} requests a second, in ms')
    print(f'{"":<12}{"median":>8}{"p99":>8}')
    found = {}
    for kind in ('direct-stream', 'through-stream'):
        found[kind] = path.load(kind, rate=rate_per_s / CLIENTS, seconds=DURATION_S)['first_s']
    rows = {
        name: [quantile(found[kind], share) * 1e3 for share in (0.5, 0.99)]
        for name, kind in (('direct', 'direct-stream'), ('through', 'through-stream'))
    }
    rows['added'] = [t - d for t, d in zip(rows['through'], rows['direct'], strict=True)]
    for name, (median, p99) in rows.items():
        print(f'{name:<12}{median:>8.2f}{p99:>8.2f}')


def main() -> None:
    """Run all measurements and print their results."""
    with System({'entry.max_streams_per_upstream': 1000}) as system:
        path = MeasuredPath(system)
        heading = ('direct/s', 'through/s', 'share', 'through/entry core')
        print(f'{"highest rates":<26}{heading[0]:>10}{heading[1]:>10}', end='')
        print(f'{heading[2]:>8}{"per entry core":>16}{"failed":>8}')
        options = {'concurrency': 32, 'seconds': DURATION_S}
        print_rates(path, 'plain JSON requests', ('direct-plain', 'through-plain'), 1, **options)
        best = print_rates(
            path, 'model requests, streamed', ('direct-stream', 'through-stream'), 1, **options
        )
        kinds = ('direct-stream', 'through-stream')
        print_rates(
            path, 'tokens, one a write', kinds, STREAM_TOKENS, tokens=STREAM_TOKENS, **options
        )
        post(f'{path.engine.http}/_model', {'tokens_per_write': 8})
        print_rates(
            path, 'tokens, eight a write', kinds, STREAM_TOKENS, tokens=STREAM_TOKENS, **options
        )
        post(f'{path.engine.http}/_model', {'tokens_per_write': 1})
        print_latency(path, best / 2)
        print_idle_cost(system, path)


if __name__ == '__main__':
    main()

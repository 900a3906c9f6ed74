"""Launches a standalone system on this machine, for the demo, tests and benchmarks.

Owns the stand-ins and the limeshelf programs that it starts, each in its own process.
"""

from __future__ import annotations

import json
import signal
import tempfile
from pathlib import Path
from typing import Any

import attrs

from standins.calls import get, post
from standins.processes import HOST, STOP_TIMEOUT_S, ChildProcess

GIB = 1 << 30
PROGRAMS = ('entry', 'placer', 'admin')
RUN_PROGRAM = {
    name: ('-c', f'from limeshelf.standalone.programs.{name} import main; main()')
    for name in PROGRAMS
}


@attrs.define
class Instance:
    """One entry instance: its settings file and its three processes."""

    instance_id: str
    data_centre: str
    settings_file: Path
    programs: dict[str, ChildProcess]

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return self.programs['entry'].http

    @property
    def rpc(self) -> str:
        """Return the address for operators."""
        return self.programs['admin'].address('rpc_port')


@attrs.define
class ListedUpstream:
    """The stand-in of an upstream and its entry in the instance list."""

    upstream_id: str
    child: ChildProcess
    line: dict[str, Any]


class System:
    """A platform, upstreams and entry instances on this machine.

    :param settings: overrides for the settings of all instances, by dotted name.
    :param lag_s: delay after which changes of the instance list become visible.
    :param gates: whether the data centres reach each other's entry instances
        through relays that can be cut.
    """

    def __init__(
        self,
        settings: dict[str, Any] | None = None,
        lag_s: float = 0.0,
        gates: bool = False,
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='limeshelf-'))
        self._children: list[ChildProcess] = []
        self.platform = self._start(
            'platform', '-m', 'standins', 'platform', '--lag-s', str(lag_s)
        )
        self.gate = self._start('gate', '-m', 'standins', 'gate') if gates else None
        self._relay_ports: dict[str, list[int]] = {}
        self.upstreams: dict[str, ListedUpstream] = {}
        self.instances: dict[str, Instance] = {}
        self._overrides = settings or {}

    def __enter__(self) -> System:
        """Return the system."""
        return self

    def __exit__(self, *_: object) -> None:
        """Stop all processes."""
        self.close()

    def _start(self, name: str, *arguments: str) -> ChildProcess:
        child = ChildProcess.launch(self.folder, name, *arguments)
        self._children.append(child)
        return child

    def start_upstreams(
        self, engines: dict[str, list[dict[str, Any]]], plain: dict[str, list[str]]
    ) -> None:
        """Start engines (options by data centre) and plain services (names by data centre)."""
        pending: list[tuple[ChildProcess, dict[str, Any]]] = []
        for data_centre, rows in engines.items():
            for number, options in enumerate(rows):
                name = f'{data_centre}-engine{number}'
                child = self._start(
                    name, '-m', 'standins', 'engine', name, *_as_arguments(options)
                )
                line = {
                    'instance_id': name,
                    'kind': 'engine',
                    'data_centre': data_centre,
                    'capacity_bytes': options.get('capacity_bytes', 80 * GIB),
                    'checks_fence': options.get('checks_fence', True),
                }
                pending.append((child, line))
        for data_centre, services in plain.items():
            for number, service in enumerate(services):
                name = f'{data_centre}-{service}{number}'
                child = self._start(name, '-m', 'standins', 'plain', name)
                line = {
                    'instance_id': name,
                    'kind': 'plain',
                    'data_centre': data_centre,
                    'service': service,
                }
                pending.append((child, line))
        self._await_platform()
        for child, line in pending:
            child.await_ports()
            line['address'] = child.address('http_port')
            self.upstreams[child.name] = ListedUpstream(child.name, child, line)
            self.list_instance(line)

    def _await_platform(self) -> None:
        if not self.platform.ports:
            self.platform.await_ports()

    def start_instances(self, counts: dict[str, int]) -> None:
        """Start the given number of entry instances in each data centre and list them."""
        self._await_platform()
        launched = []
        for data_centre, count in counts.items():
            for _ in range(count):
                number = len([i for i in self.instances.values() if i.data_centre == data_centre])
                instance_id = f'{data_centre}-{number}'
                launched.append(self.launch(instance_id, data_centre))
        for instance in launched:
            self.await_started(instance)
        for instance in launched:
            self.list_entry(instance)

    def launch(
        self, instance_id: str, data_centre: str, seeds: list[str] | None = None
    ) -> Instance:
        """Start the processes of one instance without waiting until they listen."""
        path = self.folder / f'{instance_id}.json'
        path.write_text(json.dumps(self.settings(instance_id, data_centre, seeds or [])))
        programs = {
            name: self._start(f'{instance_id}-{name}', *RUN_PROGRAM[name], '--settings', str(path))
            for name in PROGRAMS
        }
        instance = Instance(instance_id, data_centre, path, programs)
        self.instances[instance_id] = instance
        return instance

    def await_started(self, instance: Instance) -> None:
        """Wait until all processes of *instance* listen."""
        for child in instance.programs.values():
            child.await_ports()

    def list_entry(self, instance: Instance, state: str = 'live') -> None:
        """Add an entry instance to the instance list, or update it."""
        self.list_instance(
            {
                'instance_id': instance.instance_id,
                'kind': 'entry',
                'data_centre': instance.data_centre,
                'state': state,
                'peer_addresses': {
                    name: self._listed_address(instance, child)
                    for name, child in instance.programs.items()
                },
            }
        )

    def _listed_address(self, instance: Instance, child: ChildProcess) -> str:
        """Return the address for other data centres: that of a new relay if relays are used."""
        address = child.address('peer_port')
        if self.gate is None:
            return address
        if not self.gate.ports:
            self.gate.await_ports()
        port = post(f'{self.gate.http}/_open', {'target': address})['port']
        self._relay_ports.setdefault(instance.data_centre, []).append(port)
        return f'{HOST}:{port}'

    def set_partitioned(self, cut: bool) -> None:
        """Cut the links between the data centres, or restore them."""
        assert self.gate is not None
        for ports in self._relay_ports.values():
            post(f'{self.gate.http}/_cut', {'ports': ports, 'cut': cut})

    def settings(self, instance_id: str, data_centre: str, seeds: list[str]) -> dict[str, Any]:
        """Return the settings document of one instance."""
        url = f'{self.platform.http}/at/{data_centre}'
        document: dict[str, Any] = {
            'instance_id': instance_id,
            'data_centre': data_centre,
            'platform': {
                'table_url': url,
                'objects_url': url,
                'weights_url': url,
                'instances_url': url,
            },
            'entry': {'balancer_notice_s': 0.5},
            'placer': {'loads_per_s': 20.0, 'max_loads': 20},
            'peers': {'seeds': seeds},
        }
        for dotted, value in self._overrides.items():
            place = document
            *sections, last = dotted.split('.')
            for section in sections:
                place = place.setdefault(section, {})
            place[last] = value
        return document

    def list_instance(self, line: dict[str, Any]) -> None:
        """Add an entry to the instance list, or update it."""
        post(f'{self.platform.http}/_instances/{line["instance_id"]}', line, 'PUT')

    def unlist(self, instance_id: str) -> None:
        """Remove an entry from the instance list."""
        post(f'{self.platform.http}/_instances/{instance_id}', None, 'DELETE')

    def record(self, upstream_id: str) -> dict[str, Any]:
        """Return the records that the stand-in of an upstream keeps."""
        return get(f'{self.upstreams[upstream_id].child.http}/_record')

    def set_faults(self, target: str, path: str, **values: Any) -> None:
        """Set fault switches of an upstream, or of the platform."""
        child = self.platform if target == 'platform' else self.upstreams[target].child
        post(f'{child.http}/{path}', values)

    def close(self) -> None:
        """Kill all processes that this system started, by their ids."""
        for child in self._children:
            child.signal(signal.SIGCONT)
            child.signal(signal.SIGKILL)
        for child in self._children:
            child.process.wait(STOP_TIMEOUT_S)
            if child.process.stdout is not None:
                child.process.stdout.close()


def _as_arguments(options: dict[str, Any]) -> list[str]:
    arguments = []
    for name, value in options.items():
        option = name.replace('_', '-')
        if isinstance(value, bool):
            arguments.append(f'--{option}' if value else f'--no-{option}')
        else:
            arguments += [f'--{option}', str(value)]
    return arguments

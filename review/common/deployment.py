"""A small deployment on loopback: gateways as processes, the store and replicas as stand-ins.

The gateways run the command of ``deploy/system.toml`` at the project's root. Their settings have
the fields of ``deploy/settings.json.in`` with the values of a small site.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import aiohttp

from standins.users_platform.replica import ReplicaStandIn
from standins.users_platform.store import StoreStandIn

if TYPE_CHECKING:
    from collections.abc import Coroutine

ROOT = Path(__file__).resolve().parent.parent.parent
#: The command of the role ``gateway`` in the deploy file, without the settings file.
COMMAND = ('python3', '-m', 'limeshelf.programs.gateway', '--settings')
#: ``HeartbeatMs`` of the sites.
HEARTBEAT_S = 1.2
HOST = 'calls.example'
PORT_NAMES = ('calls', 'ready', 'peers', 'forwards', 'figures')


def _address(number: int) -> str:
    """Return the loopback address of one gateway, which differs between concurrent scripts."""
    high, low = divmod(os.getpid(), 250)
    return f'127.{1 + high % 250}.{low + 1}.{number + 1}'


def _free_ports(count: int) -> list[int]:
    """Return ports of the loopback interface that nobody listens at."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(('127.0.0.1', 0))
    ports = [int(probe.getsockname()[1]) for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def run_script(play: Coroutine[Any, Any, int]) -> NoReturn:
    """Run a script and exit with its result; all processes end also after SIGTERM."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(play)
    except (TimeoutError, OSError) as error:
        print(f'could not run: {error!r}')
        code = 2
    sys.exit(code)


def has_trouble() -> bool:
    """Return whether the script includes the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def encode(document: dict[str, Any]) -> str:
    """Return the value of a row of the store."""
    return base64.b64encode(json.dumps(document).encode()).decode()


class Record:
    """The record of what was sent, answered and run, written to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._began_s = time.monotonic()

    def add(self, *words: object) -> None:
        """Write one line with the time since the start of the script."""
        since_s = time.monotonic() - self._began_s
        self._file.write(f'{since_s:9.3f} ' + ' '.join(str(word) for word in words) + '\n')
        self._file.flush()


class GatewayProcess:
    """One gateway process."""

    def __init__(self, name: str, settings: dict[str, Any], folder: Path) -> None:
        self.name = name
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None
        self._path = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self._path.write_text(json.dumps(settings))

    @property
    def calls_url(self) -> str:
        """Return the address for callers."""
        return f'http://{self.settings["calls_address"]}'

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = os.pathsep.join([str(ROOT / 'target/deps'), str(ROOT)])
        environment = {
            **{name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ},
            'PYTHONPATH': path,
            'SSL_CERT_FILE': '/dev/null',
        }
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                [*COMMAND, str(self._path)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to this process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def wait(self) -> None:
        """Wait until this process has ended."""
        if self.process is not None:
            self.process.wait(10)

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors='replace') if self._log.exists() else ''


class Deployment:
    """Three gateways, a store and replicas, as an asynchronous context manager.

    :param replicas: replicas by the name of their service.
    :param configuration: the operator's first configuration.
    :param gateways: number of gateways, one in each data centre in turn.
    :param known_within_ms: ``ConfigMs`` and ``DrainMs`` of the site.
    """

    def __init__(
        self,
        record: Record,
        replicas: dict[str, list[ReplicaStandIn]],
        configuration: dict[str, Any],
        gateways: int = 3,
        known_within_ms: int = 2000,
    ) -> None:
        self.record = record
        self.store = StoreStandIn()
        self.replicas = replicas
        self.configuration = configuration
        self.gateways: list[GatewayProcess] = []
        self.caller: aiohttp.ClientSession | None = None
        self._count = gateways
        self._known_within_ms = known_within_ms
        self._beating: dict[str, asyncio.Task[None]] = {}
        #: Replicas without an entry.
        self._others: list[ReplicaStandIn] = []
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> Deployment:
        """Start everything and wait until all gateways are ready."""
        store_address = await self.store.start()
        self.configure(self.configuration)
        for service, replicas in self.replicas.items():
            for replica in replicas:
                await replica.start()
                self._start_beating(service, replica)
        ports = dict(zip(PORT_NAMES, _free_ports(len(PORT_NAMES)), strict=True))
        for number in range(self._count):
            settings = self._settings(number, ports, store_address)
            folder = Path(self._folder.name)
            self.gateways.append(GatewayProcess(f'g-{number + 1}', settings, folder))
        for gateway in self.gateways:
            gateway.start()
        self.caller = aiohttp.ClientSession(
            auto_decompress=False, connector=aiohttp.TCPConnector(limit=0)
        )
        await asyncio.gather(*(self.until_ready(gateway) for gateway in self.gateways))
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes that were started."""
        for beating in self._beating.values():
            beating.cancel()
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            gateway.wait()
        if self.caller is not None:
            await self.caller.close()
        for replica in [*self._others, *itertools.chain(*self.replicas.values())]:
            await replica.close()
        await self.store.close()
        self._folder.cleanup()

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration, as the operator does."""
        self.configuration = document
        self.store.put('op', 'config', encode(document))
        self.record.add('operator', 'config', document['Version'])

    def add_replica(self, service: str, replica: ReplicaStandIn) -> None:
        """Let a replica that has started write its entry with each heartbeat."""
        self.replicas[service].append(replica)
        self._start_beating(service, replica)

    def remove_replica(self, service: str, replica: ReplicaStandIn) -> None:
        """Take the entry of a replica away."""
        self.replicas[service].remove(replica)
        self._beating.pop(replica.replica_id).cancel()
        self._others.append(replica)
        self.store.drop('servers', replica.replica_id)

    def _start_beating(self, service: str, replica: ReplicaStandIn) -> None:
        beating = asyncio.create_task(self._beat(service, replica))
        self._beating[replica.replica_id] = beating

    async def _beat(self, service: str, replica: ReplicaStandIn) -> None:
        """Write the entry of a replica with each heartbeat."""
        for beat in itertools.count(1):
            row = replica.row(service, 'ready', beat)
            self.store.put('servers', replica.replica_id, encode(row))
            # Replicas that started together do not write together for long.
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    def _settings(self, number: int, ports: dict[str, int], store_address: str) -> dict[str, Any]:
        ip = _address(number)
        seeds = [f'{_address(other)}:{ports["peers"]}' for other in range(min(3, self._count))]
        return {
            'instance_id': f'g-{number + 1}',
            'ip': ip,
            'data_centre': f'z{number % 3 + 1}',
            'calls_address': f'{ip}:{ports["calls"]}',
            'readiness_address': f'{ip}:{ports["ready"]}',
            'store_address': store_address,
            'peer_ports': [ports['peers'], ports['forwards']],
            'seeds': seeds,
            'data_centres': ['z1', 'z2', 'z3'],
            'weight': 1000.0,
            'grace_s': 8,
            'figures_port': ports['figures'],
            'retries': {'ratio': 0.2, 'slack': 54, 'window_s': 10},
            'freshness': {
                'config_ms': self._known_within_ms,
                'replica_ms': self._known_within_ms,
            },
            'organisations': {'strict_revocation': False, 'revoke_ms': 5000},
            'placement': {
                'lease_s': 2.4,
                'window_s': 5,
                'replicas_check_fences': True,
                'lease_limit_ms': 3000,
            },
        }

    async def until_ready(self, gateway: GatewayProcess, limit_s: float = 30.0) -> None:
        """Wait until a gateway answers the readiness check with 200."""
        assert self.caller is not None
        url = f'http://{gateway.settings["readiness_address"]}/readyz'
        async with asyncio.timeout(limit_s):
            while True:
                try:
                    async with self.caller.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route in the format of the operator's configuration."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'RouteKind': kind,
        'TimeoutMs': 12000,
        'LatencySloMs': 1000,
        'Priority': 0,
        'Service': service,
        'MaxAttempts': 1,
        'Sticky': False,
        'Resumable': False,
        'ItlSloMs': 300,
        **changes,
    }

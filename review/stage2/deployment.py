"""A small deployment on loopback: real gateways, stand-ins of store and replicas, clients.

The gateways are started with the command of the deploy file. The settings are those that its
template gives, with the bounds of a small site.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.users_platform.replica import ReplicaStandIn
from standins.users_platform.store import StoreStandIn

ROOT = Path(__file__).parent.parent.parent
COMMAND = ['python3', '-m', 'limeshelf.programs.gateway', '--settings']
HOST = 'calls.example'
PLAIN = 'app'
#: Another plain service.
DESK = 'desk'
ENGINE = 'lm'
#: The bounds of the small sites.
HEARTBEAT_S = 1.2
#: A replica's entry goes after three heartbeats of silence.
ROW_LIFE_S = 3 * HEARTBEAT_S
RECOVERY_S = 12.0
START_LIMIT_S = 25.0


def trouble() -> bool:
    """Return whether the run has its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_port() -> int:
    """Return a loopback port without a listener."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def encode(document: dict[str, Any]) -> str:
    """Return a row's value."""
    return base64.b64encode(json.dumps(document).encode()).decode()


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Return the time since the start of the script."""
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f'{self.now_s:8.3f} {text}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.write(text)
        print(text, flush=True)


@dataclass
class GatewayProcess:
    """One gateway process on a loopback address of its own."""

    name: str
    ip: str
    settings: dict[str, Any]
    folder: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def settings_path(self) -> Path:
        """Return the path of the settings file."""
        return self.folder / f'{self.name}.json'

    def write_settings(self) -> None:
        """Write the settings file anew."""
        self.settings_path.write_text(json.dumps(self.settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        environment = {
            **os.environ,
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'SSL_CERT_FILE': '/dev/null',
        }
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [*COMMAND, str(self.settings_path)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to this process."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def until_ended(self) -> None:
        """Wait until the process has ended."""
        while self.process is not None:
            if self.process.poll() is not None:
                return
            await asyncio.sleep(0.05)

    def log(self) -> str:
        """Return what the process has logged."""
        return (self.folder / f'{self.name}.log').read_text(errors='replace')


@dataclass
class Answer:
    """What a client got for one request; status 0 means no complete answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    problem: str = ''


async def request(
    ip: str, port: int, head: list[str], body: bytes = b'', limit_s: float = 3.0
) -> Answer:
    """Send one request on a new connection, and read the whole answer."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write('\r\n'.join([*head, '', '']).encode() + body)
                return await _read_answer(reader)
            finally:
                writer.close()
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        return Answer(0, problem=type(error).__name__)


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    status = int(head[0].split()[1])
    fields = [line.partition(':') for line in head[1:] if line]
    headers = {name.lower(): value.strip() for name, _, value in fields}
    body = b''
    if headers.get('transfer-encoding', '') == 'chunked':
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Answer(status, headers, body)


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'RouteKind': kind,
        'TimeoutMs': 3000,
        'LatencySloMs': 400,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        'Resumable': False,
        **changes,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], adapters: int = 4, places: int = 8
) -> dict[str, Any]:
    """Return a configuration with two plain services and an engine.

    :param adapters: of each model.
    :param places: for adapters on a replica.
    """
    models = [
        {
            'Name': name,
            'WeightsMb': 70000.0,
            'LoadTimeS': 1.0,
            'Adapters': adapters,
            'AdapterSizeMb': 66.0,
        }
        for name in ('m1', 'm2')
    ]
    engine = {
        'Slots': 16,
        'KvCapacity': 60000,
        'Models': models,
        'WeightsMb': 200000.0,
        'MaxAdapters': places,
        'LoadsPerS': 8.0,
    }
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': ENGINE, 'MaxConns': 300, 'Engine': engine},
            {'Name': PLAIN, 'MaxConns': 110},
            {'Name': DESK, 'MaxConns': 110},
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1048576,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


class Deployment:
    """Gateways in three zones, a store, and replicas that write heartbeats."""

    def __init__(
        self,
        record: Record,
        gateways: int = 3,
        store: StoreStandIn | None = None,
        new_replica: type[ReplicaStandIn] = ReplicaStandIn,
        **placement: Any,
    ) -> None:
        self.record = record
        self.store = store or StoreStandIn()
        self.adapters, self.adapter_places = 4, 8
        self._new_replica = new_replica
        self.gateways: list[GatewayProcess] = []
        self.replicas: dict[str, list[ReplicaStandIn]] = {PLAIN: [], DESK: [], ENGINE: []}
        self.all_replicas: list[ReplicaStandIn] = []
        self.ports = {
            name: free_port() for name in ('calls', 'ready', 'peers', 'carry', 'figures')
        }
        self._placement = placement
        self._count = gateways
        self._folder = tempfile.TemporaryDirectory()
        self._beats: dict[str, int] = {}
        self._beating: asyncio.Task[None] | None = None

    async def start(
        self, routes: list[dict[str, Any]], plain: int, engines: int, desk: int = 0
    ) -> None:
        """Start everything, and wait until all gateways are ready."""
        address = await self.store.start()
        document = configuration(1, routes, self.adapters, self.adapter_places)
        self.store.put('op', 'config', encode(document))
        for _ in range(plain):
            await self.add_replica(PLAIN)
        for _ in range(desk):
            await self.add_replica(DESK)
        for _ in range(engines):
            await self.add_replica(ENGINE, ['m1'])
        self._beating = asyncio.create_task(self._beat())
        for number in range(self._count):
            self.gateways.append(self._gateway(number, address))
        for gateway in self.gateways:
            gateway.start()
        await self.until_ready()

    def _gateway(self, number: int, store_address: str) -> GatewayProcess:
        high, low = divmod(os.getpid(), 250)
        ips = [f'127.{10 + high % 200}.{low + 1}.{n + 1}' for n in range(self._count)]
        ip = ips[number]
        settings = {
            'instance_id': f'frontend-{number + 1}',
            'ip': ip,
            'data_centre': f'zone-{number % 3 + 1}',
            'calls_address': f'{ip}:{self.ports["calls"]}',
            'readiness_address': f'{ip}:{self.ports["ready"]}',
            'store_address': store_address,
            'peer_ports': [self.ports['peers'], self.ports['carry']],
            'seeds': [f'{one}:{self.ports["peers"]}' for one in ips[:3]],
            'data_centres': ['zone-1', 'zone-2', 'zone-3'],
            'weight': 1000.0,
            'grace_s': 8,
            'figures_port': self.ports['figures'],
            'machine': {'memory_mb': 300, 'descriptors': 4100, 'link_mbps': 1000.0},
            'retries': {'ratio': 0.2, 'slack': 58, 'window_s': 10},
            'freshness': {'config_ms': 2000, 'replica_ms': 2000},
            'placement': {
                'lease_s': 2.4,
                'window_s': 5,
                'lease_limit_ms': 3000,
                **self._placement,
            },
        }
        return GatewayProcess(settings['instance_id'], ip, settings, Path(self._folder.name))

    async def add_replica(
        self, service: str, models: list[str] | None = None, port: int = 0
    ) -> ReplicaStandIn:
        """Start a replica with a new id, at a new address unless a port is given."""
        number = len(self.all_replicas) + 1
        replica = self._new_replica(f'i-{service}-{number}', models)
        await replica.start(port)
        self.replicas[service].append(replica)
        self.all_replicas.append(replica)
        self._write(service, replica)
        return replica

    def _write(self, service: str, replica: ReplicaStandIn) -> None:
        self.store.put('servers', replica.replica_id, self.next_row(service, replica))

    def next_row(self, service: str, replica: ReplicaStandIn) -> str:
        """Return what a replica writes with its next heartbeat."""
        beat = self._beats[replica.replica_id] = self._beats.get(replica.replica_id, 0) + 1
        row = replica.row(service, 'ready', beat)
        row['Slots'] = 16 if service == ENGINE else 6
        row['Zone'] = f'zone-{self.all_replicas.index(replica) % 3 + 1}'
        return encode(row)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for service, replicas in self.replicas.items():
                for replica in replicas:
                    self._write(service, replica)

    async def crash(
        self, service: str, replicas: list[ReplicaStandIn], row_life_s: float = ROW_LIFE_S
    ) -> None:
        """Crash replicas; their entries go after three heartbeats of silence."""
        for replica in replicas:
            self.replicas[service].remove(replica)
            self.record.write(f'replica {replica.replica_id} crashes')
        for replica in replicas:
            await replica.crash()
        loop = asyncio.get_running_loop()
        for replica in replicas:
            loop.call_later(row_life_s, self.store.drop, 'servers', replica.replica_id)

    async def until_ready(self) -> None:
        """Wait until all gateways are ready."""
        async with asyncio.timeout(START_LIMIT_S):
            for gateway in self.gateways:
                await self._until_ready(gateway)

    async def _until_ready(self, gateway: GatewayProcess) -> None:
        while True:
            if await self.is_ready(gateway):
                return
            await asyncio.sleep(0.1)

    async def is_ready(self, gateway: GatewayProcess) -> bool:
        """Ask a gateway whether it is ready, as the platform does."""
        head = ['GET /readyz HTTP/1.1', 'Host: ready']
        return (await request(gateway.ip, self.ports['ready'], head, limit_s=0.5)).status == 200

    async def call(
        self,
        gateway: GatewayProcess,
        call_id: str,
        method: str,
        target: str,
        *fields: str,
        body: bytes = b'',
        limit_s: float = 3.0,
    ) -> Answer:
        """Send a client's request to a gateway."""
        head = [
            f'{method} {target} HTTP/1.1',
            f'Host: {HOST}',
            f'Limeshelf-Attempt-Id: {call_id}',
            f'Limeshelf-Deadline-Ms: {int(limit_s * 1000)}',
            *fields,
        ]
        if body:
            head.append(f'Content-Length: {len(body)}')
        return await request(gateway.ip, self.ports['calls'], head, body, limit_s)

    async def close(self) -> None:
        """End all processes that were started, by their ids."""
        if self._beating is not None:
            self._beating.cancel()
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait(10)
        for replica in self.all_replicas:
            await replica.close()
        await self.store.close()
        self._folder.cleanup()

"""Gateway processes, the store, replicas, and the links between them."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs

from standins.users_platform.replica import ReplicaStandIn
from standins.users_platform.store import StoreFaults, StoreStandIn
from tests.platform_soak.keys import LIMIT_WINDOW_S, REVOKE_S, Keys
from tests.platform_soak.link import Link
from tests.support.gateway import ENGINE, PLAIN, configuration, encoded, free_port, route

#: The store's name among what was struck.
STORE = 'store'
ROOT = Path(__file__).parent.parent.parent
HEARTBEAT_S = 0.5
#: Within which a change must be known by all gateways, in seconds.
KNOWN_S = 2.0
#: Models that fit into a replica's memory, and its places for adapters.
MOST_MODELS = 2
MOST_ADAPTERS = 2


def _ip(number: int) -> str:
    """Return the address of a gateway's machine; no two processes that play have the same."""
    high, low = divmod(os.getpid(), 250)
    return f'127.{1 + high % 250}.{low + 1}.{number + 1}'


@attrs.define(eq=False)
class GatewayProcess:
    """One gateway: its machine has an address of its own on loopback."""

    name: str
    ip: str
    data_centre: str
    link: Link
    settings_path: Path
    log_path: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program."""
        environment = {**os.environ, 'PYTHONPATH': str(ROOT)}
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'limeshelf.programs.gateway',
                    '--settings',
                    str(self.settings_path),
                ],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def runs(self) -> bool:
        """Return whether the process is there."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to this process, by its id."""
        if self.process is not None and self.runs:
            os.kill(self.process.pid, number)


@attrs.frozen
class Drain:
    """A replica's row says that it leaves.

    :ivar said_s: when the store had confirmed it, on the clock of the loop.
    """

    replica_id: str
    said_s: float


class World:
    """A whole deployment on loopback.

    :param gateways: how many, over three data centres.
    """

    def __init__(self, gateways: int) -> None:
        self.store = StoreStandIn(era=1)
        self.plain = [ReplicaStandIn(f'p-{n}') for n in range(3)]
        held = [['m1', 'm2'], ['m1'], ['m2', 'm3'], ['m1', 'm3']]
        self.engines = [ReplicaStandIn(f'e-{n}', models) for n, models in enumerate(held)]
        self.links: dict[str, Link] = {}
        self.gateways: list[GatewayProcess] = []
        self.version = 1
        self.drains: list[Drain] = []
        self._draining: set[str] = set()
        self.keys = Keys()
        self._document: dict[str, Any] = {}
        #: When the configuration was last changed, on the clock of the loop.
        self.changed_s = 0.0
        #: When the store, each gateway, by its address, and the link of each replica, by its id,
        #: were struck or came back, on the clock of the loop.
        self.struck_s: dict[str, list[float]] = {}
        self.ports = {name: free_port() for name in ('calls', 'ready', 'peers', 'figures')}
        self._count = gateways
        self._folder = tempfile.TemporaryDirectory()
        self._beat = 1
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def replicas(self) -> list[ReplicaStandIn]:
        """Return all replicas."""
        return [*self.plain, *self.engines]

    async def start(self) -> None:
        """Start everything."""
        store_address = await self.store.start()
        for engine in self.engines:
            engine.load_s = 0.3
            engine.event_s = 0.02
        for replica in self.replicas:
            link = Link(await replica.start())
            self.links[replica.replica_id] = link
            replica.address = await link.start()
        self.configure()
        self._announce()
        self._tasks.append(asyncio.create_task(self._keep_announcing()))
        for number in range(self._count):
            self.gateways.append(await self._make_gateway(number, store_address))
        for gateway in self.gateways:
            gateway.start()

    def configure(self) -> None:
        """Put the next configuration into the store, with a route of its own and other keys."""
        self.version += 1
        document = configuration(
            self.version,
            route('safe', 'safe', PLAIN),
            route('unsafe', 'unsafe', PLAIN),
            route('stream', 'streaming', ENGINE),
            route('resume', 'streaming', ENGINE, Resumable=True),
            route(f'only{self.version}', 'safe', PLAIN),
        )
        document['Tenants'] = self.keys.change()
        self._document = document
        self.configure_again()
        self.changed_s = asyncio.get_running_loop().time()

    def configure_again(self) -> None:
        """Put the newest configuration into the store, which may have lost it."""
        self.store.put('op', 'config', encoded(self._document))
        self._confirm_keys()

    def return_store(self, age_s: float) -> None:
        """Let the store come back from a copy that was taken some seconds ago."""
        self.store.restore_from_age(age_s)
        self.keys.doubt(KNOWN_S)

    def _confirm_keys(self) -> None:
        values = [row['Value'] for row in self.store.rows('op') if row['Key'] == 'config']
        if self.store.faults == StoreFaults() and values == [encoded(self._document)]:
            self.keys.confirm()

    async def restart(self, replica: ReplicaStandIn, step_ms: int) -> None:
        """Let a replica crash and start again, its clock that much further on."""
        self._draining.discard(replica.replica_id)
        born_ms = (replica.born_ms or int(time.time() * 1000)) + step_ms
        await replica.restart(born_ms, self._beat)

    def drain(self, replica: ReplicaStandIn) -> None:
        """Let a replica's row say, from the next heartbeat to its next start, that it leaves."""
        self._draining.add(replica.replica_id)

    def note_struck(self, name: str) -> None:
        """Note that something strikes the store, a gateway or a replica's link, or has ended."""
        self.struck_s.setdefault(name, []).append(asyncio.get_running_loop().time())

    def _announce(self) -> None:
        self._beat += 1
        self._confirm_keys()
        for replica in self.replicas:
            service = PLAIN if replica in self.plain else ENGINE
            leaves = replica.replica_id in self._draining
            row = replica.row(service, 'draining' if leaves else 'ready', self._beat)
            self.store.put('servers', replica.replica_id, encoded(row))
            if leaves and self.store.faults == StoreFaults():
                self._note_drain(replica)

    def _note_drain(self, replica: ReplicaStandIn) -> None:
        """Note a drain once; one that nobody has confirmed yet counts from when it is."""
        now_s = asyncio.get_running_loop().time()
        of_this = [one.said_s for one in self.drains if one.replica_id == replica.replica_id]
        if not of_this or replica.next_restart_s(of_this[-1]) < now_s:
            self.drains.append(Drain(replica.replica_id, now_s))

    async def _keep_announcing(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._announce()

    async def _make_gateway(self, number: int, store_address: str) -> GatewayProcess:
        name, ip = f'g-{number}', _ip(number)
        folder = Path(self._folder.name)
        link = Link(store_address)
        await link.start()
        seeds = [f'{_ip(n)}:{self.ports["peers"]}' for n in range(min(3, self._count))]
        settings: dict[str, Any] = {
            'instance_id': name,
            'ip': ip,
            'data_centre': f'z{number % 3 + 1}',
            'calls_address': f'{ip}:{self.ports["calls"]}',
            'readiness_address': f'{ip}:{self.ports["ready"]}',
            'store_address': link.address,
            'peer_ports': [self.ports['peers']],
            'seeds': seeds,
            'grace_s': 5.0,
            'figures_port': self.ports['figures'],
            'retries': {'ratio': 0.2, 'slack': 50, 'window_s': 10},
            'placement': {'lease_s': 2.4, 'window_s': 5},
            'organisations': {
                'strict_revocation': True,
                'revoke_ms': REVOKE_S * 1000,
                'limit_window_s': LIMIT_WINDOW_S,
            },
            'data_centres': ['z1', 'z2', 'z3'],
        }
        path = folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        log_path = folder / f'{name}.log'
        return GatewayProcess(name, ip, settings['data_centre'], link, path, log_path)

    def keep_logs(self, folder: Path) -> None:
        """Copy the logs of all gateways into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for one in self.gateways:
            if one.log_path.exists():
                shutil.copy(one.log_path, folder)

    def log_tail(self, lines: int = 5) -> str:
        """Return the last lines of each gateway's log."""
        return '\n'.join(
            '\n'.join(one.log_path.read_text(errors='replace').splitlines()[-lines:])
            for one in self.gateways
            if one.log_path.exists()
        )

    def logged_keys(self) -> list[str]:
        """Return the keys that stand in a log; none should."""
        logs = [one.log_path.read_text(errors='replace') for one in self.gateways]
        return [key for key in self.keys.all() if any(key in log for log in logs)]

    async def close(self) -> None:
        """End everything that was started, by its id."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait(10)
            await gateway.link.close()
        for replica in self.replicas:
            await self.links[replica.replica_id].close()
            await replica.close()
        await self.store.close()
        self._folder.cleanup()

"""A deployment of gateway processes, a store, replicas and the proxies between them."""

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
from tests.platform_soak.keys import LIMIT_WINDOW_S, REVOCATION_LIMIT_S, Keys
from tests.platform_soak.link import Link
from tests.support.gateway import ENGINE, PLAIN, configuration, encode_row_value, free_port, route
from tests.support.narrow_gateway import LINK_MBPS

#: A plain service with one replica, to and from which a route moves.
DESK = 'desk'
#: A service without routes.
IDLE = 'idle'
#: The store's name in the record of faults.
STORE = 'store'
ROOT = Path(__file__).parent.parent.parent
HEARTBEAT_S = 0.5
#: Time within which a change must reach all gateways, in seconds.
PROPAGATION_LIMIT_S = 2.0
#: What the ports of a gateway are for; alike at all gateways.
PORT_NAMES = ('calls', 'ready', 'peers', 'forwards', 'figures')
#: Models that fit into a replica's memory, and its adapter slots.
MAX_MODELS = 2
MAX_ADAPTERS = 2


def _ip(number: int) -> str:
    """Return a gateway's loopback address, which differs between concurrent test processes."""
    high, low = divmod(os.getpid(), 250)
    return f'127.{1 + high % 250}.{low + 1}.{number + 1}'


@attrs.frozen
class Site:
    """What a site states of its machines and of its configuration.

    :param link_mbps: width of each gateway's link in each direction; 0 if it is not limited.
    :param data_centres: number of data centres.
    :param extra_routes: routes of the configuration that no call uses, which make it large.
    :param idle_replicas: replicas that write heartbeats, of a service that no route leads to.
    :param config_ms: time within which a change of the configuration must reach every gateway.
    """

    link_mbps: float = 0.0
    data_centres: int = 3
    extra_routes: int = 0
    idle_replicas: int = 0
    config_ms: float = PROPAGATION_LIMIT_S * 1000


@attrs.define(eq=False)
class GatewayProcess:
    """One gateway process, with its own loopback address.

    :param link: the way to the store.
    :param link_mbps: as in :class:`Site`.
    """

    name: str
    ip: str
    data_centre: str
    link: Link
    settings_path: Path
    log_path: Path
    link_mbps: float = 0.0
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, 'PYTHONPATH': str(ROOT), LINK_MBPS: str(self.link_mbps)}
        module = 'tests.support.narrow_gateway' if self.link_mbps else 'limeshelf.programs.gateway'
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', module, '--settings', str(self.settings_path)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to this process, by its id."""
        if self.process is not None and self.is_running:
            os.kill(self.process.pid, number)


@attrs.frozen
class Move:
    """A configuration with the service to which the moved route leads.

    :param written_s: when it was written to the store, on the loop's clock.
    """

    version: int
    service: str
    written_s: float


@attrs.frozen
class Drain:
    """A replica that its store row marks as draining.

    :ivar confirmed_s: when the store confirmed the row, on the loop's clock.
    """

    replica_id: str
    confirmed_s: float


class World:
    """A complete deployment on loopback.

    :param gateways: number of gateways, spread over the data centres.
    :param needs_keys: whether calls need the keys of organisations.
    """

    def __init__(
        self, gateways: int, *, needs_keys: bool = True, site: Site | None = None
    ) -> None:
        self.site = site or Site()
        self.extra_routes = self.site.extra_routes
        self._needs_keys = needs_keys
        self.store = StoreStandIn(era=1)
        self.plain = [ReplicaStandIn(f'p-{n}') for n in range(3)]
        models_by_engine = [['m1', 'm2'], ['m1'], ['m2', 'm3'], ['m1', 'm3']]
        self.engines = [
            ReplicaStandIn(f'e-{n}', models) for n, models in enumerate(models_by_engine)
        ]
        self.links: dict[str, Link] = {}
        self.gateways: list[GatewayProcess] = []
        self.version = 1
        self.moves: list[Move] = []
        self.drains: list[Drain] = []
        self._draining: set[str] = set()
        self.keys = Keys()
        self._document: dict[str, Any] = {}
        #: When the configuration was last changed, on the loop's clock.
        self.changed_s = 0.0
        #: Times at which faults began or ended, on the loop's clock: by :data:`STORE`, by gateway
        #: address, and by replica id for the replica's link.
        self.fault_times_s: dict[str, list[float]] = {}
        self.ports = {name: free_port() for name in PORT_NAMES}
        self._count = gateways
        self._folder = tempfile.TemporaryDirectory()
        self._beat = 1
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def replicas(self) -> list[ReplicaStandIn]:
        """Return all replicas."""
        return [*self.plain, *self.engines]

    async def start(self) -> None:
        """Start the store, replicas, proxies and gateways."""
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
        self._tasks.append(asyncio.create_task(self._announce_periodically()))
        for number in range(self._count):
            self.gateways.append(await self._make_gateway(number, store_address))
        for gateway in self.gateways:
            gateway.start()

    def configure(self) -> None:
        """Write the next configuration to the store, with a new route and rotated keys."""
        self.version += 1
        target = DESK if self.version % 2 else PLAIN
        document = configuration(
            self.version,
            route('safe', 'safe', PLAIN),
            route('unsafe', 'unsafe', PLAIN),
            route('stream', 'streaming', ENGINE),
            route('resume', 'streaming', ENGINE, Resumable=True),
            route(f'only{self.version}', 'safe', PLAIN),
            route('moved', 'safe', target),
            *(route(f'idle{n}', 'safe', PLAIN) for n in range(self.extra_routes)),
        )
        document['Services'].append({'Name': DESK, 'MaxConns': 50})
        organisations = self.keys.change()
        if self._needs_keys:
            document['Tenants'] = organisations
        self._document = document
        self.changed_s = asyncio.get_running_loop().time()
        self.moves.append(Move(self.version, target, self.changed_s))
        self.rewrite_configuration()

    def rewrite_configuration(self) -> None:
        """Write the newest configuration to the store again, which may have lost it."""
        self.store.put('op', 'config', encode_row_value(self._document))
        self._confirm_keys()

    def restore_store(self, age_s: float) -> None:
        """Restore the store from a copy of *age_s* seconds ago."""
        self.store.restore_from_age(age_s)
        self.keys.unconfirm_recent(PROPAGATION_LIMIT_S)

    def _confirm_keys(self) -> None:
        values = [row['Value'] for row in self.store.rows('op') if row['Key'] == 'config']
        if self.store.faults == StoreFaults() and values == [encode_row_value(self._document)]:
            self.keys.confirm()

    async def restart(self, replica: ReplicaStandIn, step_ms: int) -> None:
        """Crash and restart a replica, its start time advanced by *step_ms*."""
        self._draining.discard(replica.replica_id)
        born_ms = (replica.born_ms or int(time.time() * 1000)) + step_ms
        await replica.restart(born_ms, self._beat)

    def drain(self, replica: ReplicaStandIn) -> None:
        """Mark a replica as draining in its row, from the next heartbeat until its restart."""
        self._draining.add(replica.replica_id)

    def service_of(self, replica: ReplicaStandIn) -> str:
        """Return the service of a replica."""
        if replica is self.plain[-1]:
            return DESK
        return PLAIN if replica in self.plain else ENGINE

    def record_fault(self, name: str) -> None:
        """Record that a fault of the store, a gateway or a replica's link begins or ends now."""
        self.fault_times_s.setdefault(name, []).append(asyncio.get_running_loop().time())

    def _announce(self) -> None:
        self._beat += 1
        self._confirm_keys()
        for replica in self.replicas:
            service = self.service_of(replica)
            is_draining = replica.replica_id in self._draining
            row = replica.row(service, 'draining' if is_draining else 'ready', self._beat)
            self.store.put('servers', replica.replica_id, encode_row_value(row))
            if is_draining and self.store.faults == StoreFaults():
                self._record_drain(replica)
        for number in range(self.site.idle_replicas):
            row = self.plain[0].row(IDLE, 'ready', self._beat)
            self.store.put('servers', f'{IDLE}-{number}', encode_row_value(row))

    def _record_drain(self, replica: ReplicaStandIn) -> None:
        """Record a drain once per replica run, as of its first confirmation by the store."""
        now_s = asyncio.get_running_loop().time()
        earlier_s = [
            one.confirmed_s for one in self.drains if one.replica_id == replica.replica_id
        ]
        if not earlier_s or replica.next_restart_s(earlier_s[-1]) < now_s:
            self.drains.append(Drain(replica.replica_id, now_s))

    async def _announce_periodically(self) -> None:
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
            'data_centre': f'z{number % self.site.data_centres + 1}',
            'calls_address': f'{ip}:{self.ports["calls"]}',
            'readiness_address': f'{ip}:{self.ports["ready"]}',
            'store_address': link.address,
            'peer_ports': [self.ports['peers'], self.ports['forwards']],
            'seeds': seeds,
            'grace_s': 5.0,
            'figures_port': self.ports['figures'],
            'retries': {'ratio': 0.2, 'slack': 50, 'window_s': 10},
            'placement': {'lease_s': 2.4, 'window_s': 5},
            'organisations': {
                'strict_revocation': True,
                'revoke_ms': REVOCATION_LIMIT_S * 1000,
                'limit_window_s': LIMIT_WINDOW_S,
            },
            'data_centres': [f'z{n + 1}' for n in range(self.site.data_centres)],
            'machine': {'link_mbps': self.site.link_mbps},
            'freshness': {'config_ms': self.site.config_ms, 'replica_ms': 2000.0},
        }
        path = folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        log_path = folder / f'{name}.log'
        return GatewayProcess(
            name, ip, settings['data_centre'], link, path, log_path, self.site.link_mbps
        )

    def copy_logs(self, folder: Path) -> None:
        """Copy all gateway logs to a folder."""
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
        """Return the API keys that occur in a gateway log; none should."""
        logs = [one.log_path.read_text(errors='replace') for one in self.gateways]
        return [key for key in self.keys.all() if any(key in log for log in logs)]

    async def close(self) -> None:
        """Stop everything that was started; processes are killed by id."""
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

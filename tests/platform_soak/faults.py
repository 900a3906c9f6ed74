"""Seeded faults injected from outside the gateway processes."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from standins.users_platform.replica import Fault, ReplicaStandIn
from tests.platform_soak.link import Impairment, Link
from tests.platform_soak.world import STORE, GatewayProcess, World
from tests.support.gateway import encode_row_value

FaultFunction = Callable[['FaultInjector'], Awaitable[None]]
fault_functions: dict[str, FaultFunction] = {}
RESTART_S = 0.4
#: Routes of the largest configuration that the sites state.
LARGE_CONFIGURATION_ROUTES = 1400


def strike(function: FaultFunction) -> FaultFunction:
    """Register a kind of fault under its function's name, which the seeded choice uses."""
    fault_functions[function.__name__] = function
    return function


class FaultInjector:
    """Injects overlapping faults and ends them all."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.random = random.Random(seed)
        self.injected: list[str] = []
        self._running: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Inject random faults for a time, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            name = self.random.choice(sorted(fault_functions))
            self.injected.append(name)
            task = asyncio.create_task(fault_functions[name](self))  # type: ignore[arg-type]
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await asyncio.gather(*self._running)
        for gateway in self.world.gateways:
            gateway.signal(signal.SIGCONT)
            if not gateway.is_running:
                self.world.record_fault(gateway.ip)
                gateway.start()

    def random_gateway(self) -> GatewayProcess:
        """Return a random gateway."""
        return self.random.choice(self.world.gateways)

    async def sleep_fault_duration(self) -> None:
        """Sleep for the duration of a fault."""
        await asyncio.sleep(self.random.uniform(0.5, 4.0))

    async def sleep_notice_duration(self) -> None:
        """Sleep for the duration of a replica's notice.

        This is longer than a fault, since compliance is checked only seconds after the notice.
        """
        await asyncio.sleep(self.random.uniform(4.0, 9.0))

    async def impair(self, links: list[Link], impairment: Impairment) -> None:
        """Impair links for the duration of a fault."""
        for link in links:
            link.impairment = impairment
        self.record_link_faults(links)
        await self.sleep_fault_duration()
        for link in links:
            link.restore()
        self.record_link_faults(links)

    def record_link_faults(self, links: list[Link]) -> None:
        """Record that a fault of replica links begins or ends."""
        for replica_id, link in self.world.links.items():
            if link in links:
                self.world.record_fault(replica_id)

    async def inject_replica_fault(self, replica: ReplicaStandIn, fault: Fault) -> None:
        """Give a replica a fault for a limited time."""
        replica.fault = fault
        await self.sleep_fault_duration()
        replica.fault = Fault.NONE


async def _restart_after_exit(world: World, gateway: GatewayProcess) -> None:
    world.record_fault(gateway.ip)
    while gateway.is_running:
        await asyncio.sleep(0.05)
    await asyncio.sleep(RESTART_S)
    world.record_fault(gateway.ip)
    if not gateway.is_running:
        gateway.start()


@strike
async def kill(faults: FaultInjector) -> None:
    """Kill a gateway and restart it."""
    gateway = faults.random_gateway()
    gateway.signal(signal.SIGKILL)
    await _restart_after_exit(faults.world, gateway)


@strike
async def stop_in_turn(faults: FaultInjector) -> None:
    """Stop two gateways gracefully, one shortly after the other, and restart them."""
    for gateway in faults.random.sample(faults.world.gateways, 2):
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        asyncio.get_running_loop().create_task(_restart_after_exit(faults.world, gateway))


@strike
async def freeze(faults: FaultInjector) -> None:
    """Suspend a gateway process for a limited time."""
    gateway = faults.random_gateway()
    gateway.signal(signal.SIGSTOP)
    faults.world.record_fault(gateway.ip)
    await faults.sleep_fault_duration()
    gateway.signal(signal.SIGCONT)
    faults.world.record_fault(gateway.ip)


@strike
async def hang_up(faults: FaultInjector) -> None:
    """Make a gateway reload its settings."""
    faults.random_gateway().signal(signal.SIGHUP)


@strike
async def cut_store(faults: FaultInjector) -> None:
    """Impair the store connections of two gateways."""
    impairment = faults.random.choice(
        [
            Impairment.SILENT,
            Impairment.ONE_WAY,
            Impairment.REFUSE,
            Impairment.DELAY,
            Impairment.LONG_DELAY,
        ]
    )
    sampled = faults.random.sample(faults.world.gateways, 2)
    await faults.impair([one.link for one in sampled], impairment)


@strike
async def store_fails(faults: FaultInjector) -> None:
    """Make the store unavailable or slow, lose responses, delay writes or lose its history."""
    switches = faults.world.store.faults
    kind = faults.random.choice(['down', 'silent', 'slow', 'lose', 'late', 'forget'])
    # Up to well past the time after which a gateway counts a call to the store as failed.
    switches.answer_delay_s = faults.random.uniform(0.5, 6.0) if kind == 'slow' else 0.0
    switches.status = 503 if kind == 'down' else 0
    switches.silent = kind == 'silent'
    switches.lose_answers = kind == 'lose'
    switches.late_s = faults.random.uniform(0.5, 6.0) if kind == 'late' else 0.0
    if kind == 'forget':
        faults.world.store.forget_history()
    else:
        faults.world.record_fault(STORE)
    await faults.sleep_fault_duration()
    switches.status, switches.silent, switches.lose_answers, switches.late_s = 0, False, False, 0.0
    switches.answer_delay_s = 0.0
    faults.world.record_fault(STORE)


@strike
async def store_returns(faults: FaultInjector) -> None:
    """Restore the store from older copies, then write the newest configuration again.

    At times the operator writes the next configuration instead.
    """
    world, store = faults.world, faults.world.store
    for _ in range(faults.random.randint(1, 3)):
        outage_status = faults.random.choice([0, 503, 503])
        store.faults.status = outage_status
        world.record_fault(STORE)
        if outage_status:
            await asyncio.sleep(faults.random.uniform(0.1, 2.0))
        world.restore_store(age_s=faults.random.uniform(0.0, 10.0))
        store.faults.status = 0
        world.record_fault(STORE)
        await asyncio.sleep(faults.random.uniform(0.0, 1.5))
        faults.random.choice([world.configure, world.rewrite_configuration])()


@strike
async def harm_replica_link(faults: FaultInjector) -> None:
    """Impair the connections to a replica."""
    link = faults.random.choice(list(faults.world.links.values()))
    impairment = faults.random.choice(
        [Impairment.SILENT, Impairment.ONE_WAY, Impairment.REFUSE, Impairment.DELAY]
    )
    await faults.impair([link], impairment)


@strike
async def reset_connections(faults: FaultInjector) -> None:
    """Reset all connections to a replica, or from a gateway to the store."""
    links = [*faults.world.links.values(), *(one.link for one in faults.world.gateways)]
    faults.random.choice(links).reset_all()


@strike
async def spoil_answers(faults: FaultInjector) -> None:
    """Make a replica send wrong responses, or break or refuse them."""
    fault = faults.random.choice(
        [
            Fault.FOREIGN,
            Fault.UNSIGNED,
            Fault.RESET_MIDWAY,
            Fault.RESET_UNFRAMED,
            Fault.RESET_FIRST,
            Fault.FULL,
            Fault.ERROR,
            Fault.HALF_EVENT,
        ]
    )
    await faults.inject_replica_fault(faults.random.choice(faults.world.replicas), fault)


@strike
async def late_orders(faults: FaultInjector) -> None:
    """Make a replica leave orders unanswered and execute them late."""
    engine = faults.random.choice(faults.world.engines)
    engine.order_fault = Fault.SILENT
    engine.order_delay_s = faults.random.uniform(1.0, 4.0)
    await faults.sleep_fault_duration()
    engine.order_fault = Fault.NONE


@strike
async def change_configuration(faults: FaultInjector) -> None:
    """Change the configuration one or more times in a row."""
    for _ in range(faults.random.randint(1, 4)):
        faults.world.configure()
        await asyncio.sleep(0.1)


@strike
async def enlarge_configuration(faults: FaultInjector) -> None:
    """Add many routes to the configuration, change it a few times, and remove them again."""
    faults.world.extra_routes = LARGE_CONFIGURATION_ROUTES
    for _ in range(faults.random.randint(1, 3)):
        faults.world.configure()
        await asyncio.sleep(faults.random.uniform(0.3, 2.0))
    faults.world.extra_routes = faults.world.site.extra_routes
    faults.world.configure()


@strike
async def restart_replicas(faults: FaultInjector) -> None:
    """Crash and restart a replica under its id once or twice, at times with its clock set back."""
    replica = faults.random.choice(faults.world.replicas)
    for _ in range(faults.random.randint(1, 2)):
        step_ms = faults.random.choice([1000, 1000, -60_000])
        await faults.world.restart(replica, step_ms)
        await asyncio.sleep(faults.random.uniform(0.05, 1.5))


@strike
async def write_foreign_rows(faults: FaultInjector) -> None:
    """Write malformed rows into the store, beside valid ones or in their place."""
    values = [
        'no base64',
        encode_row_value(7),
        encode_row_value({'Service': 7}),
        encode_row_value({'State': 'zzz'}),
    ]
    tables = {
        'servers': ['stranger', faults.random.choice(faults.world.replicas).replica_id],
        'members': ['stranger'],
        'lease': ['placement'],
    }
    for _ in range(faults.random.randint(1, 4)):
        table = faults.random.choice(sorted(tables))
        faults.world.store.put(
            table, faults.random.choice(tables[table]), faults.random.choice(values)
        )
        await asyncio.sleep(faults.random.uniform(0.0, 0.3))


@strike
async def ask_for_less(faults: FaultInjector) -> None:
    """Make a replica state a rate limit, or reject all calls with Retry-After, for a time."""
    replica = faults.random.choice(faults.world.replicas)
    if faults.random.random() < 0.5:
        replica.notices.rate_per_s = faults.random.choice(['0', '0.3', '2.3', '5', 'nan'])
    else:
        replica.notices.retry_after_s = faults.random.choice(['0.5', '3', '20'])
        replica.fault = Fault.FULL
    await faults.sleep_notice_duration()
    replica.notices.rate_per_s = replica.notices.retry_after_s = None
    replica.fault = Fault.NONE


@strike
async def drain(faults: FaultInjector) -> None:
    """Mark a replica as draining in its row, and later restart it."""
    replica = faults.random.choice(faults.world.replicas)
    if replica.born_ms is None:
        # Without a start time, gateways cannot distinguish this run from the next.
        await faults.world.restart(replica, 1000)
    faults.world.drain(replica)
    await faults.sleep_notice_duration()
    await faults.world.restart(replica, 1000)


@strike
async def leave(faults: FaultInjector) -> None:
    """Make a replica announce in its responses alone that it is leaving; later restart it."""
    replica = faults.random.choice(faults.world.replicas)
    if replica.born_ms is None:
        # Without a start time, gateways cannot distinguish this run from the next.
        await faults.world.restart(replica, 1000)
    replica.notices.leaving = True
    await faults.sleep_notice_duration()
    await faults.world.restart(replica, 1000)

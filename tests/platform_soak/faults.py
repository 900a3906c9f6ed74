"""Faults that strike from outside the processes, drawn from a seed."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from standins.users_platform.replica import Fault, ReplicaStandIn
from tests.platform_soak.link import Harm, Link
from tests.platform_soak.world import STORE, GatewayProcess, World
from tests.support.gateway import encoded

Strike = Callable[['Faults'], Awaitable[None]]
strikes: dict[str, Strike] = {}
RESTART_S = 0.4


def strike(function: Strike) -> Strike:
    """Add a kind of fault under the name of its function."""
    strikes[function.__name__] = function
    return function


class Faults:
    """Lets faults strike that overlap, and ends them all."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.random = random.Random(seed)
        self.struck: list[str] = []
        self._running: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Strike again and again, then wait until every fault has ended."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + seconds
        while loop.time() < ends_s:
            name = self.random.choice(sorted(strikes))
            self.struck.append(name)
            task = asyncio.create_task(strikes[name](self))  # type: ignore[arg-type]
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await asyncio.gather(*self._running)
        for gateway in self.world.gateways:
            gateway.signal(signal.SIGCONT)
            if not gateway.runs:
                self.world.note_struck(gateway.ip)
                gateway.start()

    def a_gateway(self) -> GatewayProcess:
        """Draw a gateway."""
        return self.random.choice(self.world.gateways)

    async def for_a_while(self) -> None:
        """Wait for as long as a fault lasts."""
        await asyncio.sleep(self.random.uniform(0.5, 4.0))

    async def for_long(self) -> None:
        """Wait for as long as a replica is in need: what it asks for is judged after seconds."""
        await asyncio.sleep(self.random.uniform(4.0, 9.0))

    async def harm(self, links: list[Link], harm: Harm) -> None:
        """Harm links for a while."""
        for link in links:
            link.harm = harm
        self.note_harmed(links)
        await self.for_a_while()
        for link in links:
            link.heal()
        self.note_harmed(links)

    def note_harmed(self, links: list[Link]) -> None:
        """Note which replicas' links are struck, or whole again."""
        for replica_id, link in self.world.links.items():
            if link in links:
                self.world.note_struck(replica_id)

    async def spoil(self, replica: ReplicaStandIn, fault: Fault) -> None:
        """Let a replica fail for a while."""
        replica.fault = fault
        await self.for_a_while()
        replica.fault = Fault.NONE


async def _restart(world: World, gateway: GatewayProcess) -> None:
    world.note_struck(gateway.ip)
    while gateway.runs:
        await asyncio.sleep(0.05)
    await asyncio.sleep(RESTART_S)
    world.note_struck(gateway.ip)
    if not gateway.runs:
        gateway.start()


@strike
async def kill(faults: Faults) -> None:
    """Kill a gateway; it is started again."""
    gateway = faults.a_gateway()
    gateway.signal(signal.SIGKILL)
    await _restart(faults.world, gateway)


@strike
async def stop_in_turn(faults: Faults) -> None:
    """Stop some gateways as planned, one after the other."""
    for gateway in faults.random.sample(faults.world.gateways, 2):
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        asyncio.get_running_loop().create_task(_restart(faults.world, gateway))


@strike
async def freeze(faults: Faults) -> None:
    """Freeze a gateway for a while."""
    gateway = faults.a_gateway()
    gateway.signal(signal.SIGSTOP)
    faults.world.note_struck(gateway.ip)
    await faults.for_a_while()
    gateway.signal(signal.SIGCONT)
    faults.world.note_struck(gateway.ip)


@strike
async def hang_up(faults: Faults) -> None:
    """Tell a gateway to read its settings again."""
    faults.a_gateway().signal(signal.SIGHUP)


@strike
async def cut_store(faults: Faults) -> None:
    """Cut some gateways from the store."""
    harm = faults.random.choice([Harm.SILENT, Harm.ONE_WAY, Harm.REFUSE, Harm.DELAY])
    some = faults.random.sample(faults.world.gateways, 2)
    await faults.harm([one.link for one in some], harm)


@strike
async def store_fails(faults: Faults) -> None:
    """Let the store be down, lose answers, do writes late, or forget its history."""
    switches = faults.world.store.faults
    kind = faults.random.choice(['down', 'silent', 'lose', 'late', 'forget'])
    switches.status = 503 if kind == 'down' else 0
    switches.silent = kind == 'silent'
    switches.lose_answers = kind == 'lose'
    switches.late_s = 1.0 if kind == 'late' else 0.0
    if kind == 'forget':
        faults.world.store.forget_history()
    else:
        faults.world.note_struck(STORE)
    await faults.for_a_while()
    switches.status, switches.silent, switches.lose_answers, switches.late_s = 0, False, False, 0.0
    faults.world.note_struck(STORE)


@strike
async def store_returns(faults: Faults) -> None:
    """Let the store come back from older copies; what was written since is written again.

    At times the operator goes on to the next configuration instead.
    """
    world, store = faults.world, faults.world.store
    for _ in range(faults.random.randint(1, 3)):
        away = faults.random.choice([0, 503, 503])
        store.faults.status = away
        world.note_struck(STORE)
        if away:
            await asyncio.sleep(faults.random.uniform(0.1, 2.0))
        world.return_store(age_s=faults.random.uniform(0.0, 10.0))
        store.faults.status = 0
        world.note_struck(STORE)
        await asyncio.sleep(faults.random.uniform(0.0, 1.5))
        faults.random.choice([world.configure, world.configure_again])()


@strike
async def harm_replica_link(faults: Faults) -> None:
    """Delay, cut or refuse the connections to a replica."""
    link = faults.random.choice(list(faults.world.links.values()))
    harm = faults.random.choice([Harm.SILENT, Harm.ONE_WAY, Harm.REFUSE, Harm.DELAY])
    await faults.harm([link], harm)


@strike
async def reset_connections(faults: Faults) -> None:
    """Reset all connections to a replica, or of a gateway to the store."""
    links = [*faults.world.links.values(), *(one.link for one in faults.world.gateways)]
    faults.random.choice(links).reset_all()


@strike
async def spoil_answers(faults: Faults) -> None:
    """Let a replica spoil, break or lose its answers."""
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
    await faults.spoil(faults.random.choice(faults.world.replicas), fault)


@strike
async def late_orders(faults: Faults) -> None:
    """Let a replica leave orders unanswered and carry them out late."""
    engine = faults.random.choice(faults.world.engines)
    engine.order_fault = Fault.SILENT
    engine.order_delay_s = faults.random.uniform(1.0, 4.0)
    await faults.for_a_while()
    engine.order_fault = Fault.NONE


@strike
async def change_configuration(faults: Faults) -> None:
    """Change the configuration, some times in a row."""
    for _ in range(faults.random.randint(1, 4)):
        faults.world.configure()
        await asyncio.sleep(0.1)


@strike
async def restart_replicas(faults: Faults) -> None:
    """Let a replica crash and start again under its id, at times twice, at times set back."""
    replica = faults.random.choice(faults.world.replicas)
    for _ in range(faults.random.randint(1, 2)):
        step_ms = faults.random.choice([1000, 1000, -60_000])
        await faults.world.restart(replica, step_ms)
        await asyncio.sleep(faults.random.uniform(0.05, 1.5))


@strike
async def write_foreign_rows(faults: Faults) -> None:
    """Put rows of another writer into the store, beside good ones or in their place."""
    values = ['no base64', encoded(7), encoded({'Service': 7}), encoded({'State': 'zzz'})]
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
async def ask_for_less(faults: Faults) -> None:
    """Let a replica name a rate, or turn all calls away and ask for rest, for a while."""
    replica = faults.random.choice(faults.world.replicas)
    if faults.random.random() < 0.5:
        replica.notices.rate_per_s = faults.random.choice(['0', '0.3', '2.3', '5', 'nan'])
    else:
        replica.notices.retry_after_s = faults.random.choice(['0.5', '3', '20'])
        replica.fault = Fault.FULL
    await faults.for_long()
    replica.notices.rate_per_s = replica.notices.retry_after_s = None
    replica.fault = Fault.NONE


@strike
async def drain(faults: Faults) -> None:
    """Let a replica's row say that it leaves; another start takes its place."""
    replica = faults.random.choice(faults.world.replicas)
    if replica.born_ms is None:
        # A start that states no time cannot be told from the next one.
        await faults.world.restart(replica, 1000)
    faults.world.drain(replica)
    await faults.for_long()
    await faults.world.restart(replica, 1000)


@strike
async def leave(faults: Faults) -> None:
    """Let a replica say in its answers alone that it leaves; another start takes its place."""
    replica = faults.random.choice(faults.world.replicas)
    if replica.born_ms is None:
        # A start that states no time cannot be told from the next one.
        await faults.world.restart(replica, 1000)
    replica.notices.leaving = True
    await faults.for_long()
    await faults.world.restart(replica, 1000)

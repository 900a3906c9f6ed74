"""Several gateways in this process, in two data centres, before stand-ins that end and return."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import uvloop

from limeshelf.programs.gateway import Gateway
from standins.users_platform.replica import ReplicaStandIn
from tests.support.gateway import GatewayWorld, configuration

if TYPE_CHECKING:
    from limeshelf.settings.gateway import GatewaySettings

#: Data centres of the gateways, in turn.
CENTRES = ('z1', 'z1', 'z2')
#: Calls of :func:`load`, from all callers together.
CALLS_PER_S = 40
#: After which the store drops the row of a replica that is silent, in seconds.
ROW_LIFE_S = 1.0


class FleetWorld(GatewayWorld):
    """Gateways, a store and replicas; use as an asynchronous context.

    :param engines: replicas that hold model ``m1``.
    :param crash_text: a replica crashes when it runs a call whose body contains this.
    :param crash_model: a replica crashes when it begins to load this model.
    :param centres: data centres of the gateways, in turn.
    :param back_after_s: from the end of a replica to its return under another id, in seconds.
    :ivar ends: when replicas ended, on the clock of the loop.
    :ivar gateway_of: number of the gateway at which each call was made, by the call's id.
    """

    def __init__(
        self,
        engines: int = 4,
        crash_text: bytes | None = None,
        crash_model: str = '',
        back_after_s: float = 0.6,
        centres: tuple[str, ...] = CENTRES,
    ) -> None:
        super().__init__()
        self.store.era = 1
        self.engines = [ReplicaStandIn(f'e-{number}', ['m1']) for number in range(engines)]
        self.ends: list[float] = []
        self._crash_text = crash_text
        self._crash_model = crash_model
        self.centres = centres
        self._back_after_s = back_after_s
        self._gateways: dict[int, Gateway] = {}
        self._settings: dict[int, GatewaySettings] = {}
        self._returns: set[asyncio.Task[None]] = set()
        self._call_numbers = itertools.count()
        self.gateway_of: dict[str, int] = {}

    async def __aenter__(self) -> FleetWorld:
        self.store_address = await self.store.start()
        for replica in [*self.plain, *self.engines]:
            await self._start_replica(replica)
        self.configure(configuration(1))
        self.caller = aiohttp.ClientSession(auto_decompress=False)
        for number in range(len(self.centres)):
            await self.start_gateway(number)
        await self.until(self.all_know_all, limit_s=15.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.caller is not None
        for task in self._returns:
            task.cancel()
        await self.caller.close()
        for number in list(self._gateways):
            await self.stop_gateway(number)
        for replica in [*self.plain, *self.engines]:
            await replica.close()
        await self.store.close()

    def gateway_settings(self, number: int) -> GatewaySettings:
        """Return the settings of a gateway, the same for each of its starts."""
        if number not in self._settings:
            self._settings[number] = attrs.evolve(
                self.settings(), instance_id=f'g-{number}', data_centre=self.centres[number]
            )
        return self._settings[number]

    async def start_gateway(self, number: int) -> None:
        """Start a gateway, which knows nothing of an earlier start."""
        self._gateways[number] = Gateway(settings=self.gateway_settings(number))
        await self._gateways[number].start()

    async def stop_gateway(self, number: int) -> None:
        """End a gateway without a drain."""
        await self._gateways.pop(number).stop()

    def components(self, number: int) -> Any:
        """Return what a gateway consists of."""
        return self._gateways[number].components

    def all_know_all(self) -> bool:
        """Return whether each gateway knows the configuration, all replicas and all others."""
        parts = [gateway.components for gateway in self._gateways.values()]
        return all(
            one.active_config.config is not None
            and len(one.directory.all()) >= len(self.plain + self.engines)
            and len(one.members.others()) >= len(self.centres) - 1
            for one in parts
        )

    async def call_at(self, number: int, path: str, body: bytes, **headers: str) -> int:
        """Make a call at a gateway; return its status, 0 where the answer is not whole."""
        call_id = f'f{next(self._call_numbers)}'
        self.gateway_of[call_id] = number
        headers['Limeshelf_Attempt_Id'] = call_id
        self.port = int(self.gateway_settings(number).calls_address.rpartition(':')[2])
        try:
            return (await self.call(path, body=body, **headers)).status
        except aiohttp.ClientError:
            return 0

    async def generate_at(self, number: int, body: bytes, model: str = 'm1') -> int:
        """Call a model at a gateway; see :meth:`call_at`."""
        return await self.call_at(
            number,
            '/stream/x',
            body,
            Limeshelf_Model=model,
            Limeshelf_Token_Count='100,20',
            Limeshelf_Prompt_Prefix='aa:40,bb:60',
        )

    async def _start_replica(self, replica: ReplicaStandIn) -> None:
        replica.crash_text = self._crash_text
        replica.crash_model = self._crash_model
        replica.on_crash = self._note_end
        await replica.start()
        self.announce(replica)

    def _note_end(self, replica: ReplicaStandIn) -> None:
        self.ends.append(asyncio.get_running_loop().time())
        task = asyncio.create_task(self._return(replica))
        self._returns.add(task)
        task.add_done_callback(self._returns.discard)

    async def _return(self, replica: ReplicaStandIn) -> None:
        await asyncio.sleep(self._back_after_s)
        group = self.plain if replica in self.plain else self.engines
        name = f'{replica.replica_id.partition("+")[0]}+{len(self.ends)}'
        fresh = ReplicaStandIn(name, list(replica.models))
        group[group.index(replica)] = fresh
        await self._start_replica(fresh)
        await asyncio.sleep(max(0.0, ROW_LIFE_S - self._back_after_s))
        self.store.drop('servers', replica.replica_id)
        await replica.close()


async def load(world: FleetWorld, path: str, for_s: float) -> list[int]:
    """Make calls at all gateways in turn, at a steady pace; return what they were told.

    :param path: ``/stream/x`` for calls to a model.
    """
    tasks = []
    for number in range(int(for_s * CALLS_PER_S)):
        at = number % len(world.centres)
        if path.startswith('/stream'):
            call = world.generate_at(at, b'x')
        else:
            call = world.call_at(at, path, b'x')
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(1 / CALLS_PER_S)
    return list(await asyncio.gather(*tasks))


def run_fleet(scenario: Any, **options: Any) -> None:
    """Run *scenario* with a fleet of its own."""

    async def play() -> None:
        async with FleetWorld(**options) as world:
            with contextlib.suppress(asyncio.CancelledError):
                await scenario(world)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(play())

"""Several gateways in the test process, in front of stand-in replicas that crash and restart.

By default, the gateways are spread over two data centres.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import uvloop

from limeshelf.programs.gateway_service import Gateway
from standins.users_platform.replica import ReplicaStandIn
from tests.support.gateway import GatewayWorld, configuration

if TYPE_CHECKING:
    from limeshelf.settings.gateway import GatewaySettings

#: Data centre of each gateway, by its number.
DATA_CENTRES = ('z1', 'z1', 'z2')
#: Total call rate of :func:`load`, over all gateways.
CALLS_PER_S = 40
#: Time after a replica's crash until the store drops its row, in seconds.
ROW_LIFE_S = 1.0


class FleetWorld(GatewayWorld):
    """Gateways, a store and replicas, as an asynchronous context manager.

    :param engines: number of replicas that hold model ``m1``.
    :param crash_text: a replica that starts running a call whose body contains this crashes.
    :param crash_delay_s: time from running that call to the crash, in seconds.
    :param crash_after_answer_s: for how long it is answered before the crash; ``None`` for not.
    :param crash_model: a replica that starts loading this model crashes.
    :param centres: data centre of each gateway, by its number.
    :param back_after_s: time from a replica's crash to its restart under a new id, in seconds.
    :ivar ends: times of replica crashes, on the loop's clock.
    :ivar gateway_of: number of the gateway that each call was sent to, by call id.
    """

    def __init__(
        self,
        engines: int = 4,
        crash_text: bytes | None = None,
        crash_model: str = '',
        back_after_s: float = 0.6,
        centres: tuple[str, ...] = DATA_CENTRES,
        crash_delay_s: float = 0.0,
        crash_after_answer_s: float | None = None,
    ) -> None:
        super().__init__()
        self.store.era = 1
        self.engines = [ReplicaStandIn(f'e-{number}', ['m1']) for number in range(engines)]
        self.ends: list[float] = []
        self._crash_text = crash_text
        self._crash_delay_s = crash_delay_s
        self._crash_after_answer_s = crash_after_answer_s
        self._crash_model = crash_model
        self.centres = centres
        self._back_after_s = back_after_s
        self._gateways: dict[int, Gateway] = {}
        self._settings: dict[int, GatewaySettings] = {}
        self._restarts: set[asyncio.Task[None]] = set()
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
        for task in self._restarts:
            task.cancel()
        await self.caller.close()
        for number in list(self._gateways):
            await self.stop_gateway(number)
        for replica in [*self.plain, *self.engines]:
            await replica.close()
        await self.store.close()

    def gateway_settings(self, number: int) -> GatewaySettings:
        """Return a gateway's settings, which are the same after each restart."""
        if number not in self._settings:
            self._settings[number] = attrs.evolve(
                self.settings(), instance_id=f'g-{number}', data_centre=self.centres[number]
            )
        return self._settings[number]

    async def start_gateway(self, number: int) -> None:
        """Start a gateway without any state of an earlier run."""
        self._gateways[number] = Gateway(settings=self.gateway_settings(number))
        await self._gateways[number].start()

    async def stop_gateway(self, number: int) -> None:
        """Stop a gateway without draining it."""
        await self._gateways.pop(number).stop()

    def components(self, number: int) -> Any:
        """Return a gateway's components."""
        return self._gateways[number].components

    def all_know_all(self) -> bool:
        """Return whether each gateway knows the configuration, all replicas and all gateways."""
        running = [gateway.components for gateway in self._gateways.values()]
        return all(
            one.active_config.config is not None
            and len(one.directory.all()) >= len(self.plain + self.engines)
            and len(one.members.others()) >= len(self.centres) - 1
            for one in running
        )

    async def call_at(self, number: int, path: str, body: bytes, **headers: str) -> int:
        """Send a call to a gateway; return its status, or 0 if the response is incomplete."""
        call_id = f'f{next(self._call_numbers)}'
        self.gateway_of[call_id] = number
        headers['Limeshelf_Attempt_Id'] = call_id
        self.port = int(self.gateway_settings(number).calls_address.rpartition(':')[2])
        try:
            return (await self.call(path, body=body, **headers)).status
        except aiohttp.ClientError:
            return 0

    async def generate_at(self, number: int, body: bytes, model: str = 'm1') -> int:
        """Send a call for a model to a gateway; see :meth:`call_at`."""
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
        replica.crash_delay_s = self._crash_delay_s
        replica.crash_after_answer_s = self._crash_after_answer_s
        replica.crash_model = self._crash_model
        replica.on_crash = self.schedule_restart
        await replica.start()
        self.announce(replica)

    def schedule_restart(self, replica: ReplicaStandIn) -> None:
        """Record the crash of a replica, and start it again under another id after a while."""
        self.ends.append(asyncio.get_running_loop().time())
        task = asyncio.create_task(self._restart_later(replica))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_later(self, replica: ReplicaStandIn) -> None:
        await asyncio.sleep(self._back_after_s)
        group = self.plain if replica in self.plain else self.engines
        name = f'{replica.replica_id.partition("+")[0]}+{len(self.ends)}'
        replacement = ReplicaStandIn(name, list(replica.models))
        group[group.index(replica)] = replacement
        await self._start_replica(replacement)
        await asyncio.sleep(max(0.0, ROW_LIFE_S - self._back_after_s))
        self.store.drop('servers', replica.replica_id)
        await replica.close()


async def send_steady_load(world: FleetWorld, path: str, for_s: float) -> list[int]:
    """Send calls to all gateways in turn, at a constant rate; return the response statuses.

    :param path: path of the calls; those below ``/stream`` call a model.
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


def run_fleet(
    scenario: Any, *, world_class: type[FleetWorld] | None = None, **options: Any
) -> None:
    """Run *scenario* against a new fleet.

    :param world_class: :class:`FleetWorld` by default.
    """

    async def run_scenario() -> None:
        async with (world_class or FleetWorld)(**options) as world:
            with contextlib.suppress(asyncio.CancelledError):
                await scenario(world)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_scenario())

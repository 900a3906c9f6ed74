"""Detection of crashed replicas after calls were interrupted."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes import crash_detector as detector_module
from limeshelf.crashes.crash_detector import CrashDetector
from limeshelf.crashes.quarantine import Quarantine
from limeshelf.crashes.suspects import ReplicaCrash, Suspects, SuspectState, UpdateSource
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.util.clock import boottime_s
from limeshelf.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from limeshelf.replicas.replica import Replica

CALL, OTHER = Fingerprint('aa'), Fingerprint('bb')
BORN_MS = 1_784_591_736_000


@attrs.define
class World:
    """A crash detector with replicas; ``address`` is that of a listening socket."""

    directory: ReplicaDirectory
    suspects: Suspects
    detector: CrashDetector
    listener: asyncio.Server
    address: str

    def add(self, replica_id: str = 'r1', **changes: Any) -> Replica:
        """Add or update a replica by a row."""
        record = ReplicaRecord(replica_id, 'lm', self.address, 'z1', 4, False, None, (), 1)
        self.directory.apply_record(attrs.evolve(record, **changes))
        replica = self.directory.get(replica_id)
        assert replica is not None
        return replica

    def suspected_crashes(self, fingerprint: Fingerprint = CALL) -> int:
        """Return the number of crashes that a call is suspected of."""
        state = self.suspects.state_of(fingerprint)
        return state.crash_count if state is not None else 0

    async def close_listener(self) -> None:
        """Close the listener, as the exit of a process does."""
        self.listener.close()
        await self.listener.wait_closed()


@contextlib.asynccontextmanager
async def create_world() -> AsyncIterator[World]:
    listener = await asyncio.start_server(lambda _, writer: writer.close(), '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    directory, suspects, tasks = ReplicaDirectory(lambda *_: None), Suspects(), TaskSet()
    detector = CrashDetector(directory, suspects, tasks)
    tasks.supervise(detector.run, 'watch')
    yield World(directory, suspects, detector, listener, f'{host}:{port}')
    await tasks.close()
    listener.close()


def run_scenario(scenario: Any) -> None:
    async def run() -> None:
        async with create_world() as world:
            await scenario(world)

    asyncio.run(run())


@pytest.fixture(autouse=True)
def short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(detector_module, 'CONNECT_RETRY_DELAY_S', 0.02)
    monkeypatch.setattr(detector_module, 'RESTART_CHECK_INTERVAL_S', 0.02)


def test_replica_that_refuses_connections_after_an_interruption_has_crashed() -> None:
    async def scenario(world: World) -> None:
        replica = world.add(born_ms=BORN_MS)
        await world.close_listener()
        world.detector.record_interrupted_call(CALL, replica)
        world.detector.record_interrupted_call(OTHER, replica)
        assert world.detector.unconfirmed_crashes(CALL) == 1
        await world.detector.wait_until_checked(CALL)
        assert (world.suspected_crashes(CALL), world.suspected_crashes(OTHER)) == (1, 1)
        world.detector.record_interrupted_call(Fingerprint('cc'), replica)
        assert world.suspected_crashes(Fingerprint('cc')) == 1

    run_scenario(scenario)


def test_replica_whose_listener_closes_after_the_interruption_has_crashed() -> None:
    async def scenario(world: World) -> None:
        replica = world.add()
        world.detector.record_interrupted_call(CALL, replica)
        await asyncio.sleep(0.01)
        await world.close_listener()
        await world.detector.wait_until_checked(CALL)
        assert world.suspected_crashes() == 1

    run_scenario(scenario)


def test_interrupted_calls_at_running_replicas_are_not_suspected() -> None:
    """Corrupted responses break 40 % of the connections to replicas that keep running."""

    async def scenario(world: World) -> None:
        port = int(world.address.rpartition(':')[2])
        hosts = [f'127.0.0.{number}' for number in range(2, 7)]
        listener = await asyncio.start_server(lambda _, writer: writer.close(), hosts, port)
        for host in hosts:
            world.detector.record_interrupted_call(CALL, world.add(host, address=f'{host}:{port}'))
        await world.detector.wait_until_checked(CALL)
        await asyncio.sleep(0.1)
        listener.close()
        assert world.suspected_crashes() == 0

    run_scenario(scenario)


def test_crash_with_a_fast_restart_is_detected_by_the_start_time() -> None:
    async def scenario(world: World) -> None:
        replica = world.add(born_ms=BORN_MS)
        world.detector.record_interrupted_call(CALL, replica)
        await world.detector.wait_until_checked(CALL)
        assert world.suspected_crashes() == 0
        world.add(born_ms=BORN_MS + 900)
        await asyncio.sleep(0.1)
        assert world.suspected_crashes() == 1

    run_scenario(scenario)


def test_crash_is_detected_by_another_replica_at_the_address() -> None:
    async def scenario(world: World) -> None:
        world.detector.record_interrupted_call(CALL, world.add())
        await world.detector.wait_until_checked(CALL)
        world.add('r2')
        await asyncio.sleep(0.1)
        assert world.suspected_crashes() == 1

    run_scenario(scenario)


def test_deleted_row_of_a_reachable_replica_is_no_crash() -> None:
    """A partition between the replica and the store deletes its row."""

    async def scenario(world: World) -> None:
        replica = world.add()
        world.detector.record_interrupted_call(CALL, replica)
        await world.detector.wait_until_checked(CALL)
        world.directory.mark_gone(replica, 'record_dropped')
        await asyncio.sleep(0.1)
        assert world.suspected_crashes() == 0

    run_scenario(scenario)


def test_exit_of_a_leaving_replica_is_no_crash() -> None:
    async def scenario(world: World) -> None:
        replica = world.add(leaving=True)
        await world.close_listener()
        world.detector.record_interrupted_call(CALL, replica)
        await asyncio.sleep(0.1)
        assert world.suspected_crashes() == 0

    run_scenario(scenario)


@pytest.mark.parametrize(('born_ms', 'crashes'), [(BORN_MS, 0), (None, 1)])
def test_response_after_a_partition_with_resets_withdraws_the_crash(
    born_ms: int | None, crashes: int
) -> None:
    """Without a start time, the response may come from a later start, so the crash stays."""

    async def scenario(world: World) -> None:
        replica = world.add(born_ms=born_ms)
        await world.close_listener()
        world.detector.record_interrupted_call(CALL, replica)
        await world.detector.wait_until_checked(CALL)
        world.detector.record_response(replica, sent_s=0.0)
        assert world.suspected_crashes() == 1
        world.detector.record_response(replica, sent_s=boottime_s())
        assert world.suspected_crashes() == crashes

    run_scenario(scenario)


@pytest.mark.parametrize(('has_crashed', 'crashes'), [(True, 1), (False, 0)])
def test_lost_load_is_suspected_only_if_the_replica_refuses_connections(
    monkeypatch: pytest.MonkeyPatch, has_crashed: bool, crashes: int
) -> None:
    """A partition that drops packets also loses loads, though the replica keeps running."""

    async def silent(*_: object) -> None:
        raise TimeoutError

    async def scenario(world: World) -> None:
        replica = world.add()
        await world.close_listener()
        if not has_crashed:
            monkeypatch.setattr(asyncio, 'open_connection', silent)
        world.detector.record_lost_load(CALL, replica)
        await world.detector.wait_until_checked(CALL)
        assert world.suspected_crashes() == crashes

    run_scenario(scenario)


def test_coincident_crashes_do_not_quarantine_a_call() -> None:
    """Guards against calls refused for 300 s because one partition interrupted them twice.

    The partition resets all connections to the replicas of a data centre. A repeatable call is
    interrupted at one replica, and 2 ms later at another; neither accepts connections, so each
    looks like an isolated crash. In two of six simulations of crashes and partitions, without a
    call that crashes replicas, one call each was refused, interrupted in the first 0.3 s.
    """

    async def scenario(world: World) -> None:
        await world.close_listener()
        hosts = [f'127.0.0.{number}' for number in range(2, 5)]
        port = world.address.rpartition(':')[2]
        replicas = [world.add(host, address=f'{host}:{port}') for host in hosts]
        for replica in replicas[:2]:
            world.detector.record_interrupted_call(CALL, replica)
        world.detector.record_interrupted_call(OTHER, replicas[2])
        await world.detector.wait_until_checked(CALL)
        await world.detector.wait_until_checked(OTHER)
        assert world.suspected_crashes() == 2
        assert Quarantine(world.suspects).check(CALL) is None

    run_scenario(scenario)


def test_crash_of_a_replica_that_appeared_after_another_crashed_is_not_coincident() -> None:
    async def scenario(world: World) -> None:
        first = world.add('r1')
        world.detector.record_lost_load(CALL, first)
        await world.detector.wait_until_checked(CALL)
        second = world.add('r2')
        await world.close_listener()
        world.detector.record_lost_load(CALL, second)
        await world.detector.wait_until_checked(CALL)
        await asyncio.sleep(0.1)
        state = world.suspects.state_of(CALL)
        assert state is not None
        assert (state.crash_count, state.isolated_crash_count) == (2, 2)

    run_scenario(scenario)


async def _interrupt_and_wait(world: World, replica: Replica) -> None:
    await world.close_listener()
    world.detector.record_interrupted_call(OTHER, replica)
    await world.detector.wait_until_checked(OTHER)


@pytest.mark.parametrize('responds', [False, True])
def test_call_that_was_given_up_is_suspected_of_a_crash_that_interrupts_another(
    responds: bool,
) -> None:
    """A response in between shows that the replica runs, not that it has ended the call."""

    async def scenario(world: World) -> None:
        replica = world.add(born_ms=BORN_MS)
        world.detector.record_abandoned_call(CALL, replica)
        if responds:
            world.detector.record_response(replica, sent_s=boottime_s())
        await _interrupt_and_wait(world, replica)
        assert world.suspected_crashes() == 1

    run_scenario(scenario)


def test_call_that_was_given_up_is_suspected_of_a_crash_that_another_gateway_detected() -> None:
    async def scenario(world: World) -> None:
        replica = world.add(born_ms=BORN_MS)
        world.detector.record_abandoned_call(CALL, replica)
        crash = ReplicaCrash(replica.replica_id, BORN_MS)
        world.suspects.merge(SuspectState(OTHER, frozenset({crash})), UpdateSource.PEER)
        assert world.suspected_crashes() == 1

    run_scenario(scenario)


def test_call_that_was_given_up_is_suspected_of_a_crash_that_a_refused_connection_shows() -> None:
    async def scenario(world: World) -> None:
        replica = world.add()
        world.detector.record_abandoned_call(CALL, replica)
        await world.close_listener()
        world.detector.record_refused_connection(replica)
        await asyncio.sleep(0.1)
        assert world.suspected_crashes() == 1

    run_scenario(scenario)


def test_crash_that_only_a_call_given_up_could_have_shown_is_found_by_probes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(detector_module, 'PROBE_INTERVAL_S', 0.02)

    async def scenario(world: World) -> None:
        for number in range(2):
            world.suspects.record_crash(CALL, ReplicaCrash(f'r{number + 2}'))
        replica = world.add()
        world.detector.record_abandoned_call(CALL, replica)
        await asyncio.sleep(0.05)
        assert world.suspected_crashes() == 2
        await world.close_listener()
        await asyncio.sleep(0.1)
        assert world.suspected_crashes() == 3

    run_scenario(scenario)


def test_call_that_was_given_up_long_before_a_crash_is_not_suspected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(detector_module, 'ABANDONED_WATCH_S', 0.05)

    async def scenario(world: World) -> None:
        replica = world.add()
        world.detector.record_abandoned_call(CALL, replica)
        await asyncio.sleep(0.1)
        await _interrupt_and_wait(world, replica)
        assert world.suspected_crashes() == 0

    run_scenario(scenario)

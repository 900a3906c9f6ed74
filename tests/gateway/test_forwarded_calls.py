"""Calls that another gateway carries keep all that holds for calls that are sent from here."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import aiohttp

from limeshelf.admission.retry_rules import MIN_SEND_TIME_S
from limeshelf.calls.call import Call
from limeshelf.errors import RefusalReason
from limeshelf.forwarding.targets import MAX_REFUSING
from limeshelf.util.clock import boottime_s
from standins.users_platform.replica import Fault
from tests.support.fleet import run_fleet
from tests.support.gateway import HOST, Response, configuration, route
from tests.support.partition import Cut, PartitionedFleet

#: Time in which a gateway that is cut off finds out that it reaches no replica, with calls.
FOUND_WITHIN_S = 3.0
#: The users' bound from a caller's close to the end of the work on its call.
GONE_WITHIN_S = 0.5
KEY = {'Authorization': 'Token key-of-acme'}
ACME = {'Name': 'acme', 'Keys': ['key-of-acme']}


class _Fleet(PartitionedFleet):
    """A fleet that sends calls to one gateway and returns the whole response."""

    async def send(self, number: int, path: str, **headers: str) -> Response:
        self._use(number)
        return await self.call(path, **headers)

    async def stream(self, number: int, path: str = '/resume/x', **headers: str) -> Response:
        self._use(number)
        return await self.generate(path, **headers)

    def _use(self, number: int) -> None:
        self.port = int(self.gateway_settings(number).calls_address.rpartition(':')[2])

    def slow_streams(self, *, event_s: float, events: int) -> None:
        """Have replicas answer with so many events, and so long a pause before each."""
        for replica in self.engines:
            replica.event_s = event_s
            replica.events = events

    async def isolate(self, *numbers: int) -> None:
        """Cut gateways off from all replicas, and wait until they know."""
        for number in numbers:
            await self.cut_off(number, Cut.RESET)
        async with asyncio.timeout(FOUND_WITHIN_S):
            while not all(self.reaches_none(number) for number in numbers):
                for number in numbers:
                    await self.call_at(number, '/safe/x', b'')
                    await self.generate_at(number, b'')
        for replica in [*self.plain, *self.engines]:
            replica.runs.clear()
            replica.received_calls.clear()

    def reaches_none(self, number: int) -> bool:
        replicas = self.components(number).directory.all()
        return all(replica.health.awaits_probe for replica in replicas)

    def received(self) -> list[Any]:
        return [
            call for replica in [*self.plain, *self.engines] for call in replica.received_calls
        ]

    def carrying(self) -> int:
        """Return the gateway that carries a call of gateway 0."""
        others = range(1, len(self.centres))
        (number,) = (at for at in others if self.components(at).frontend.requests_in_flight)
        return number

    def forwarded(self, number: int) -> float:
        text = self.components(number).metrics.text().decode()
        lines = [
            line
            for line in text.splitlines()
            if line.startswith('limeshelf_forwarded_calls_total{')
        ]
        return sum(float(line.rpartition(' ')[2]) for line in lines)


def _run(scenario: Any, centres: tuple[str, ...] = ('z1', 'z1')) -> None:
    run_fleet(scenario, world_class=_Fleet, centres=centres)


def test_request_and_answer_pass_unchanged_and_nothing_of_ours_leaks() -> None:
    async def scenario(world: _Fleet) -> None:
        direct = await world.send(1, '/unsafe/a%2Fb?q=%20', X_Own='kept', Content_Type='x/y')
        (plain,) = world.received()
        await world.isolate(0)
        answer = await world.send(0, '/unsafe/a%2Fb?q=%20', X_Own='kept', Content_Type='x/y')
        (call,) = world.received()
        assert answer.status == 200
        assert set(answer.headers) == set(direct.headers)
        assert answer.body == b'answer of ' + call.call_id.encode()
        assert call.target == plain.target == '/unsafe/a%2Fb?q=%20'
        assert list(call.headers) == list(plain.headers)
        assert call.headers['X-Own'] == 'kept'
        # The deadline is what the caller has left.
        assert 2000 < int(call.headers['Limeshelf-Deadline-Ms']) < 3000

    _run(scenario)


def test_key_and_last_event_id_arrive_and_the_key_does_not_reach_the_replica() -> None:
    async def scenario(world: _Fleet) -> None:
        world.configure({**configuration(2), 'Tenants': [ACME]})
        await world.until(
            lambda: all(world.components(one).active_config.version == 2 for one in (0, 1))
        )
        await world.cut_off(0, Cut.RESET)
        async with asyncio.timeout(FOUND_WITHIN_S):
            while not world.reaches_none(0):
                await world.stream(0, **KEY)
                await world.send(0, '/safe/x', **KEY)
        for replica in world.engines:
            replica.received_calls.clear()
        answer = await world.stream(0, Last_Event_Id='2', **KEY)
        (call,) = [call for replica in world.engines for call in replica.received_calls]
        assert answer.status == 200
        assert answer.body.startswith(b'id: 3\n')
        assert call.headers['Limeshelf-Tenant'] == 'acme'
        assert call.headers['Last-Event-ID'] == '2'
        assert 'Authorization' not in call.headers
        assert (await world.stream(0, Authorization='Token other')).status == 401

    _run(scenario)


def test_caller_that_leaves_ends_the_work_of_the_replica() -> None:
    async def scenario(world: _Fleet) -> None:
        await world.isolate(0)
        world.slow_streams(event_s=0.2, events=1000)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                await world.stream(0, Limeshelf_Deadline_Ms='20000')
        async with asyncio.timeout(GONE_WITHIN_S):
            while not sum(replica.abandoned for replica in world.engines):
                await asyncio.sleep(0.01)

    _run(scenario)


def test_unsafe_call_runs_once_when_the_gateway_that_carries_it_dies() -> None:
    async def scenario(world: _Fleet) -> None:
        await world.isolate(0)
        for replica in world.plain:
            replica.fault = Fault.SILENT
        call = asyncio.create_task(world.send(0, '/unsafe/x'))
        await world.until(lambda: world.received())
        await world.stop_gateway(world.carrying())
        answer = await call
        # It may have run, so it is neither repeated nor said not to have run.
        assert answer.status == 502
        assert len(world.received()) == 1

    _run(scenario, ('z1', 'z1', 'z1'))


def test_stream_is_resumed_when_the_gateway_that_carries_it_dies() -> None:
    async def scenario(world: _Fleet) -> None:
        await world.isolate(0)
        world.slow_streams(event_s=0.05, events=20)
        call = asyncio.create_task(world.stream(0))
        await world.until(lambda: world.received())
        await asyncio.sleep(0.2)
        await world.stop_gateway(world.carrying())
        answer = await call
        ids = [int(line[4:]) for line in answer.body.splitlines() if line.startswith(b'id: ')]
        assert answer.status == 200
        assert ids == list(range(1, 21))

    _run(scenario, ('z1', 'z1', 'z1'))


def test_call_is_forwarded_once_and_refused_at_once_when_no_gateway_reaches_a_replica() -> None:
    async def scenario(world: _Fleet) -> None:
        await world.isolate(0, 1, 2)
        began_s = asyncio.get_running_loop().time()
        asked = [world.forwarded(number) for number in range(3)]
        answers = [await world.send(0, '/unsafe/x') for _ in range(20)]
        took_s = asyncio.get_running_loop().time() - began_s
        assert {answer.status for answer in answers} == {503}
        assert all(float(answer.headers['Retry-After']) > MIN_SEND_TIME_S for answer in answers)
        assert took_s / len(answers) < 0.1
        # Each of the two others was asked at most once a second, and asked nobody itself.
        assert world.forwarded(0) - asked[0] <= MAX_REFUSING * (1 + took_s)
        assert [world.forwarded(number) for number in (1, 2)] == asked[1:]
        assert not world.received()

    _run(scenario, ('z1', 'z1', 'z1'))


def test_gateway_sends_by_itself_again_once_it_reaches_replicas() -> None:
    async def scenario(world: _Fleet) -> None:
        await world.isolate(0)
        assert (await world.send(0, '/safe/x')).status == 200
        await world.reconnect(0)
        replicas = world.components(0).directory.all()
        await world.until(lambda: not any(one.health.awaits_probe for one in replicas))
        before = world.forwarded(0)
        statuses = [(await world.send(0, '/safe/x')).status for _ in range(10)]
        assert statuses == [200] * 10
        assert world.forwarded(0) == before

    _run(scenario)


def test_retry_budget_is_not_spent_on_connections_that_failed() -> None:
    async def scenario(world: _Fleet) -> None:
        await world.cut_off(0, Cut.NEW_REFUSED)
        budget = world.components(0).budgets.of('app')
        budget._balance = 0.0
        statuses = [(await world.send(0, '/unsafe/x')).status for _ in range(5)]
        assert statuses == [200] * 5

    _run(scenario)


def test_planned_stop_of_the_gateway_that_carries_a_call_cuts_nothing_off() -> None:
    async def scenario(world: _Fleet) -> None:
        await world.isolate(0)
        world.slow_streams(event_s=0.1, events=20)
        call = asyncio.create_task(world.stream(0, '/stream/x', Limeshelf_Deadline_Ms='10000'))
        await world.until(lambda: world.received())
        stopping = asyncio.create_task(world._gateways[1].drain())
        answer = await call
        assert answer.status == 200
        assert answer.body.count(b'data:') == 20
        assert await stopping == 0
        # It takes no further calls, and says so before anything ran.
        refused = await world.send(0, '/unsafe/x')
        assert refused.status == 503

    _run(scenario)


def test_calls_that_no_known_gateway_sent_are_not_carried() -> None:
    async def scenario(world: _Fleet) -> None:
        frontend = world.components(1).frontend
        frontend._is_gateway_host = lambda host: False
        settings = world.gateway_settings(1)
        url = f'http://127.0.0.1:{settings.forward_port}/unsafe/x'
        headers = {'Host': HOST, 'Limeshelf-Attempt-Id': 'c', 'X-Gateway-Call': '{}'}
        async with aiohttp.ClientSession() as session:
            async with session.post(url, headers=headers) as answer:
                assert answer.status == 503
                assert RefusalReason.BAD_REQUEST in answer.headers['X-Gateway-Outcome']
            frontend._is_gateway_host = lambda host: True
            async with session.post(url, headers=headers) as answer:
                assert answer.status == 503
        assert not world.received()

    _run(scenario)


def test_caller_cannot_pose_as_a_gateway() -> None:
    async def scenario(world: _Fleet) -> None:
        answer = await world.send(0, '/safe/x', X_Gateway_Call='{"runs":9}')
        assert answer.status == 200
        await world.isolate(0)
        assert (await world.send(0, '/safe/x', X_Gateway_Call='{"runs":9}')).status == 200

    _run(scenario)


def test_usage_and_demand_of_a_forwarded_call_are_counted_once() -> None:
    async def scenario(world: _Fleet) -> None:
        await world.isolate(0)
        before = [_started(world, number) for number in (0, 1)]
        for _ in range(5):
            assert (await world.stream(0)).status == 200
        after = [_started(world, number) for number in (0, 1)]
        assert [new - old for new, old in zip(after, before, strict=True)] == [5, 0]

    _run(scenario)


def _started(world: _Fleet, number: int) -> int:
    return sum(demand.started for demand in world.components(number).meter._by_key.values())


def test_service_drawn_by_the_forwarding_gateway_is_kept_if_the_route_leads_there() -> None:
    async def scenario(world: _Fleet) -> None:
        split = [{'Service': 'app', 'Weight': 1}, {'Service': 'lm', 'Weight': 1}]
        world.configure(configuration(2, route('both', 'safe', 'app', Split=split)))
        pipeline = world.components(1).pipeline
        await world.until(lambda: pipeline.config.version == 2)
        call = Call('c', 'POST', HOST, '/both/x', (), b'', boottime_s(), None, None, None)

        def drawn(service: str) -> set[str]:
            states = [pipeline._begin_call(call, Any, service) for _ in range(30)]
            return {state.service.name for state in states}

        assert drawn('lm') == {'lm'}
        assert drawn('gone') == {'app', 'lm'}

    _run(scenario)

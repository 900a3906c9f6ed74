"""Plain calls: the answer not run means that it did not run, and at most once."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest

from tests.support.entry import SERVICES, entry_world
from tests.support.table import TableFault


def run(coroutine):
    return asyncio.run(coroutine)


@pytest.mark.parametrize('method', ['GET', 'POST', 'PUT', 'DELETE', 'PATCH'])
def test_any_method_passes_through(method: str) -> None:
    async def case() -> None:
        async with entry_world() as made:
            status, headers, body = await made.send(method, '/book/a%2Fb?c=%20d', data=b'x')
            assert status == 200
            assert headers['X-Limeshelf-Outcome'] == 'completed'
            answer = json.loads(body)
            assert answer['method'] == method
            assert answer['path'] == '/a%2Fb?c=%20d'

    run(case())


def test_streamed_body_arrives_whole() -> None:
    async def chunks():
        for number in range(50):
            yield f'{number},'.encode()

    async def case() -> None:
        async with entry_world() as made:
            _, _, body = await made.send('POST', '/book/slots', data=chunks())
            assert json.loads(body)['echo'] == ''.join(f'{n},' for n in range(50))

    run(case())


@pytest.mark.parametrize('method', ['POST', 'PUT', 'DELETE'])
@pytest.mark.parametrize(('fault', 'runs'), [('die_before', 0), ('die_after', 1), ('cut', 1)])
def test_call_is_sent_once_when_the_connection_drops(method, fault, runs) -> None:
    """The client must not repeat it by itself, idempotent method or not."""

    async def case() -> None:
        async with entry_world() as made:
            for service in made.services.values():
                setattr(service.faults, fault, 1)
            headers = {'Idempotency-Key': 'k'}
            status, got, _ = await made.send(method, '/book/s', data=b'x', headers=headers)
            assert status == 502
            assert got['X-Limeshelf-Outcome'] == 'may_have_run'
            assert made.service_runs == runs
            struck = sum(getattr(s.faults, fault) for s in made.services.values())
            assert struck == 1, 'a second replica was tried'
            _, got, _ = await made.send(method, '/book/s', data=b'x', headers=headers)
            assert got['X-Limeshelf-Outcome'] == 'may_have_run'
            assert made.service_runs == runs

    run(case())


def test_call_without_a_key_is_sent_once_too() -> None:
    async def case() -> None:
        async with entry_world() as made:
            for service in made.services.values():
                service.faults.die_after = 1
            status, got, _ = await made.send('PUT', '/book/s', data=b'x')
            assert (status, got['X-Limeshelf-Outcome']) == (502, 'may_have_run')
            assert made.service_runs == 1

    run(case())


def test_repeatable_route_is_tried_again() -> None:
    async def case() -> None:
        async with entry_world() as made:
            for service in made.services.values():
                service.faults.die_before = 1
            service = made.services[SERVICES[0]]
            service.faults.die_before = 0
            for _ in range(4):
                status, _, _ = await made.send('POST', '/read/s', data=b'x')
                assert status == 200

    run(case())


def test_answer_that_breaks_after_its_head_is_cut_for_the_caller_and_logged() -> None:
    async def case() -> None:
        async with entry_world() as made:
            for service in made.services.values():
                service.faults.cut = 1
            async with made.session.get(f'{made.url}/read/s') as answer:
                assert answer.status == 200
                with pytest.raises(aiohttp.ClientError):
                    await answer.read()
            assert made.service_runs == 1
            lines = made.context.decisions.lines(answer.headers['X-Limeshelf-Request-Id'])
            assert lines[-1].startswith('decision=cut')
            assert lines[-1].endswith('reason=connection_lost')

    run(case())


def test_refused_call_goes_to_another_replica() -> None:
    async def case() -> None:
        async with entry_world() as made:
            made.services['s0'].faults.busy = 100
            for number in range(6):
                headers = {'Idempotency-Key': f'k{number}'}
                status, _, _ = await made.send('POST', '/book/s', data=b'x', headers=headers)
                assert status == 200
            assert len(made.services['s1'].runs) == 6

    run(case())


def test_answer_not_run_frees_the_key() -> None:
    async def case() -> None:
        async with entry_world() as made:
            for service in made.services.values():
                service.faults.busy = 1
            headers = {'Idempotency-Key': 'k'}
            status, got, _ = await made.send('POST', '/book/s', data=b'x', headers=headers)
            assert (status, got['X-Limeshelf-Outcome']) == (503, 'not_run')
            assert made.service_runs == 0
            status, _, _ = await made.send('POST', '/book/s', data=b'x', headers=headers)
            assert status == 200
            assert made.service_runs == 1

    run(case())


def test_same_key_at_one_moment_runs_once() -> None:
    async def case() -> None:
        async with entry_world() as made:
            for service in made.services.values():
                service.faults.call_s = 0.05
            headers = {'Idempotency-Key': 'k'}
            answers = await asyncio.gather(
                *(made.send('POST', '/book/s', data=b'x', headers=headers) for _ in range(10))
            )
            outcomes = sorted(got['X-Limeshelf-Outcome'] for _, got, _ in answers)
            assert outcomes == ['completed'] + ['may_have_run'] * 9
            assert made.service_runs == 1

    run(case())


def test_key_of_another_call_is_refused() -> None:
    async def case() -> None:
        async with entry_world() as made:
            headers = {'Idempotency-Key': 'k'}
            await made.send('POST', '/book/s', data=b'x', headers=headers)
            status, got, _ = await made.send('POST', '/book/s', data=b'y', headers=headers)
            assert (status, got['X-Limeshelf-Outcome']) == (422, 'not_run')
            assert made.service_runs == 1

    run(case())


def test_keyed_call_is_answered_not_run_at_once_while_claims_are_down() -> None:
    async def case() -> None:
        async with entry_world() as made:
            made.table.down = True
            headers = {'Idempotency-Key': 'k'}
            status, got, _ = await made.send('POST', '/book/s', data=b'x', headers=headers)
            assert (status, got['X-Limeshelf-Outcome']) == (503, 'not_run')
            assert 'Retry-After' in got
            assert made.service_runs == 0

    run(case())


@pytest.mark.parametrize(
    ('faults', 'busy', 'logged'),
    [
        ([TableFault.DOWN], 0, 'step=claim outcome=table_unavailable'),
        ([TableFault.LOST_BEFORE], 0, 'step=claim outcome=insert_may_be_late'),
        ([TableFault.LOST_AFTER, TableFault.DOWN], 0, 'step=claim outcome=read_back_failed'),
        ([TableFault.NONE, TableFault.DOWN], 0, 'step=keep_answer outcome=uncertain'),
        ([TableFault.NONE, TableFault.DOWN], 1, 'step=give_back outcome=uncertain'),
    ],
)
def test_trouble_with_a_claim_is_logged(faults, busy, logged) -> None:
    async def case() -> None:
        async with entry_world() as made:
            made.table.next_faults.extend(faults)
            for service in made.services.values():
                service.faults.busy = busy
            headers = {'Idempotency-Key': 'k'}
            _, got, _ = await made.send('POST', '/book/s', data=b'x', headers=headers)
            lines = made.context.decisions.lines(got['X-Limeshelf-Request-Id'])
            assert f'route=book caller=anonymous {logged}' in lines[-1]

    run(case())


def test_lost_claim_answer_is_read_back() -> None:
    async def case() -> None:
        async with entry_world() as made:
            made.table.next_faults.append(TableFault.LOST_AFTER)
            headers = {'Idempotency-Key': 'k'}
            status, _, _ = await made.send('POST', '/book/s', data=b'x', headers=headers)
            assert status == 200
            assert made.service_runs == 1

    run(case())


def test_caller_who_went_away_finds_the_answer() -> None:
    async def case() -> None:
        async with entry_world() as made:
            for service in made.services.values():
                service.faults.call_s = 0.1
            headers = {'Idempotency-Key': 'k'}
            first = asyncio.ensure_future(made.send('POST', '/book/s', data=b'x', headers=headers))
            while made.service_runs == 0:
                await asyncio.sleep(0.01)
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            got: dict[str, str] = {}
            async with asyncio.timeout(5):
                while got.get('X-Limeshelf-Replayed') != 'true':
                    _, got, _ = await made.send('POST', '/book/s', data=b'x', headers=headers)
            assert made.service_runs == 1

    run(case())


def test_unknown_route() -> None:
    async def case() -> None:
        async with entry_world() as made:
            status, got, _ = await made.send('GET', '/nowhere')
            assert (status, got['X-Limeshelf-Outcome']) == (404, 'not_run')

    run(case())

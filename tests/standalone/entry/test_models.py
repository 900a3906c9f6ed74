"""Model requests: whole answers, one's own, and honest outcomes."""

from __future__ import annotations

import asyncio
import json

import pytest

from standins.answers import token_text
from tests.support.entry import ENGINES, entry_world

PROMPT = 'user: hi'
TOKENS = 8


def run(coroutine):
    return asyncio.run(coroutine)


def expected_text(caller: str = 'anonymous', tokens: int = TOKENS) -> str:
    return ''.join(token_text(caller, PROMPT, index) for index in range(tokens))


def streamed_text(body: bytes) -> str:
    events = [line[6:] for line in body.decode().split('\n\n') if line.startswith('data: {')]
    choices = [json.loads(event)['choices'][0] for event in events]
    return ''.join(choice['delta'].get('content', '') for choice in choices)


def test_whole_answer() -> None:
    async def case() -> None:
        async with entry_world() as made:
            status, headers, body = await made.chat(max_tokens=TOKENS)
            assert status == 200
            assert headers['X-Limeshelf-Outcome'] == 'completed'
            assert headers['X-Limeshelf-Revision'] == '1'
            message = json.loads(body)['choices'][0]['message']['content']
            assert message == expected_text()

    run(case())


@pytest.mark.parametrize('fault', ['cut', 'foreign', 'skipped', 'doubled'])
def test_broken_stream_is_resumed_at_the_next_token(fault: str) -> None:
    async def case() -> None:
        async with entry_world() as made:
            for engine in made.engines.values():
                setattr(engine.stream_faults, fault, 1)
            status, _, body = await made.chat(
                max_tokens=TOKENS, stream=True, headers={'X-Caller': 'depot-1'}
            )
            assert status == 200
            assert streamed_text(body) == expected_text('depot-1')
            assert body.endswith(b'data: [DONE]\n\n')
            assert made.context.metrics.counters['entry.retries'] >= 1

    run(case())


def test_stream_that_cannot_be_resumed_ends_with_a_typed_error() -> None:
    async def case() -> None:
        async with entry_world() as made:
            for engine in made.engines.values():
                engine.stream_faults.cut = 100
            _, _, body = await made.chat(max_tokens=100, stream=True)
            last = json.loads(body.decode().strip().split('\n\n')[-1][6:])
            assert last['error']['outcome'] == 'may_have_run'
            assert b'[DONE]' not in body

    run(case())


def test_once_only_model_is_not_asked_again() -> None:
    async def case() -> None:
        async with entry_world() as made:
            for engine in made.engines.values():
                engine.stream_faults.cut = 100
            status, headers, _ = await made.chat(model='once', max_tokens=TOKENS)
            assert status == 502
            assert headers['X-Limeshelf-Outcome'] == 'may_have_run'
            assert made.engine_runs == 1

    run(case())


def test_unreachable_engine_is_passed_over() -> None:
    async def case() -> None:
        async with entry_world() as made:
            await made.stop('e0')
            for _ in range(4):
                status, _, _ = await made.chat(max_tokens=2)
                assert status == 200

    run(case())


def test_request_without_any_engine_is_answered_not_run_at_once() -> None:
    async def case() -> None:
        async with entry_world() as made:
            for name in ENGINES:
                await made.stop(name)
            status, headers, _ = await made.chat(max_tokens=2)
            assert status == 503
            assert headers['X-Limeshelf-Outcome'] == 'not_run'
            assert int(headers['Retry-After']) >= 1
            assert made.engine_runs == 0

    run(case())


def test_leaving_engine_gets_no_second_request() -> None:
    async def case() -> None:
        async with entry_world() as made:
            made.engines['e0'].leaving = True
            # Several at one time, so that some are sent to either engine.
            answers = await asyncio.gather(*(made.chat(max_tokens=2) for _ in range(20)))
            assert {status for status, _, _ in answers} == {200}
            assert not made.engines['e0'].runs
            refused = made.context.metrics.counters['entry.upstream_refused']
            upstream = made.context.upstreams.get('e0')
            assert upstream is not None
            assert upstream.leaving
            for _ in range(20):
                await made.chat(max_tokens=2)
            assert made.context.metrics.counters['entry.upstream_refused'] == refused

    run(case())


def test_retries_stay_within_their_budget() -> None:
    """A retry storm: every try breaks; tries stay near the number of requests."""

    async def case() -> None:
        async with entry_world() as made:
            for engine in made.engines.values():
                engine.stream_faults.cut = 10_000
            requests = 200
            for _ in range(requests):
                # A failed engine is passed over for a second; the storm is not.
                for upstream in made.context.upstreams.engines():
                    upstream.avoid_until_s = 0.0
                await made.chat(max_tokens=TOKENS)
            saved = 10
            assert made.engine_runs <= requests * 1.1 + saved

    run(case())


def test_deadline_ends_a_request_at_once() -> None:
    async def case() -> None:
        async with entry_world() as made:
            for engine in made.engines.values():
                engine.model.first_token_s = 30.0
            status, headers, _ = await made.chat(max_tokens=2, limeshelf={'deadline_s': 0.2})
            assert status == 502
            assert headers['X-Limeshelf-Outcome'] == 'may_have_run'

    run(case())


def test_caller_gone_cancels_the_engine() -> None:
    async def case() -> None:
        async with entry_world() as made:
            for engine in made.engines.values():
                engine.model.token_s = 0.05
            task = asyncio.ensure_future(made.chat(max_tokens=1000, stream=True))
            while not any(engine.slots.running for engine in made.engines.values()):
                await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            async with asyncio.timeout(5):
                while any(engine.slots.running for engine in made.engines.values()):
                    await asyncio.sleep(0.01)

    run(case())


def test_cancelled_connection_is_not_used_again() -> None:
    """After a request is cut off, later callers get their own answers."""

    async def case() -> None:
        async with entry_world() as made:
            for engine in made.engines.values():
                engine.model.token_s = 0.002
            for number in range(10):
                slow = asyncio.ensure_future(
                    made.chat(max_tokens=500, headers={'X-Caller': f'gone-{number}'})
                )
                await asyncio.sleep(0.02)
                slow.cancel()
                await asyncio.gather(slow, return_exceptions=True)
                caller = f'stays-{number}'
                _, _, body = await made.chat(max_tokens=TOKENS, headers={'X-Caller': caller})
                text = json.loads(body)['choices'][0]['message']['content']
                assert text == expected_text(caller)

    run(case())


@pytest.mark.parametrize(
    ('fields', 'status', 'named'),
    [
        ({'model': 3}, 400, 'model'),
        ({'messages': []}, 400, 'messages'),
        ({'messages': [{'role': 'user', 'content': 4}]}, 400, 'messages[0].content'),
        ({'messages': 'hi'}, 400, 'messages'),
        ({'max_tokens': 0}, 400, 'max_tokens'),
        ({'max_tokens': 'many'}, 400, 'max_tokens'),
        ({'stream': 'yes'}, 400, 'stream'),
        ({'n': 2}, 400, 'n'),
        ({'limeshelf': {'deadline': 3}}, 400, 'limeshelf.deadline'),
        ({'limeshelf': {'deadline_s': -1}}, 400, 'limeshelf.deadline_s'),
        ({'limeshelf': {'deadline_s': 'soon'}}, 400, 'limeshelf.deadline_s'),
    ],
)
def test_bad_field_is_named_and_reaches_no_engine(fields, status, named) -> None:
    async def case() -> None:
        async with entry_world() as made:
            got, headers, body = await made.chat(**fields)
            error = json.loads(body)['error']
            assert (got, error['param']) == (status, named)
            assert headers['X-Limeshelf-Outcome'] == 'not_run'
            assert made.engine_runs == 0

    run(case())


def test_unknown_model() -> None:
    async def case() -> None:
        async with entry_world() as made:
            status, _, body = await made.chat(model='nobody')
            assert status == 404
            assert json.loads(body)['error']['code'] == 'unknown_model'

    run(case())


def test_oversize_and_slow_bodies_are_refused() -> None:
    async def slow():
        yield b'{"model": "m",'
        await asyncio.sleep(30)

    async def case() -> None:
        async with entry_world(max_body_bytes=1000, body_timeout_s=0.2) as made:
            path = '/v1/chat/completions'
            status, _, _ = await made.send('POST', path, data=b'x' * 2000)
            assert status == 413
            status, _, _ = await made.send('POST', path, data=b'{not json')
            assert status == 400
            status, _, body = await made.send('POST', path, data=slow())
            assert status == 408, body
            assert made.engine_runs == 0

    run(case())

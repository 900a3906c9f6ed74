"""Holds the answers that are limeshelf's own: status, headers and body, byte for byte.

Red means that a caller, a proxy or the balancer may take an answer for another
one. Put status, header or body back; edit ``recorded/http_*.txt`` only for a
change that the users agreed to. Request ids and times stand there as ``ID`` and
``TIME``; ``Date`` and ``Server`` aren't held, nor are answers of upstreams and
replicas that are passed on.
"""

from __future__ import annotations

import asyncio
import re
from typing import Any

from limeshelf.errors import (
    InvalidRequest,
    MayHaveRun,
    MayHaveRunReason,
    NotRun,
    OutcomeKind,
    RefusalReason,
)
from limeshelf.standalone.entry.answers import invalid_answer, outcome_answer, tag
from limeshelf.standalone.entry.lifecycle import Phase
from tests.forms.recorded import check_recorded
from tests.support.entry import EntryWorld, entry_world
from tests.support.gateway import GatewayWorld, configuration, route
from tests.support.gateway import run as run_gateway

WHAT_TO_DO = 'HTTP answers are a contract; see the docstring of tests/forms/test_http.py.'
UNHELD = {'date', 'server'}


def line(case: str, status: int, headers: Any, body: bytes | None) -> str:
    named = sorted((name, value) for name, value in headers.items() if name.lower() not in UNHELD)
    text = f'{case}: {status} {named} {(body or b"").decode()!r}'
    return re.sub(r'req-i-\w+', 'ID', text)


def final_answers() -> list[str]:
    """Return the answer to each final outcome of the own wire, by its reason."""
    outcomes: list[Any] = [NotRun(RefusalReason('overloaded'), 2.5)]
    for detail, retry_after_s in (('', None), ('A sentence.', 0.2)):
        outcomes += [NotRun(reason, retry_after_s, detail) for reason in RefusalReason]
        outcomes += [MayHaveRun(reason, detail) for reason in MayHaveRunReason]
    found = []
    for outcome in outcomes:
        answer = tag(outcome_answer(outcome, 'req-i-1'), 'req-i-1', 7)
        retry = getattr(outcome, 'retry_after_s', None)
        case = f'{outcome.reason} retry={retry} detail={outcome.detail!r}'
        found.append(line(case, answer.status, answer.headers, answer.body))
    for status in (400, 413):
        answer = invalid_answer(InvalidRequest('field', 'problem', status), 'req-i-1')
        found.append(line(f'invalid {status}', answer.status, answer.headers, answer.body))
    return found


def test_final_answers_are_the_recorded_ones() -> None:
    check_recorded('http_outcomes.txt', final_answers(), WHAT_TO_DO)


def test_outcome_kinds_are_the_recorded_ones() -> None:
    assert {str(kind) for kind in OutcomeKind} == {'completed', 'not_run', 'may_have_run'}


async def entry_answers() -> list[str]:
    """Return answers of a whole entry server to calls that it can't or won't pass on."""
    found = []

    async def note(made: EntryWorld, case: str, method: str, path: str, **rest: Any) -> None:
        status, headers, body = await made.send(method, path, **rest)
        body = re.sub(rb'"created":\d+', b'"created":TIME', body)
        body = re.sub(rb'"service": "s\d"', b'"service": "ANY"', body)
        found.append(line(case, status, headers, body))

    chat = '/v1/chat/completions'
    messages = [{'role': 'user', 'content': 'hi'}]
    good = {'model': 'm', 'messages': messages, 'max_tokens': 1}
    async with entry_world(max_body_bytes=512) as made:
        for phase in Phase:
            made.context.lifecycle.phase = phase
            await note(made, f'{phase} health', 'GET', '/health')
            await note(made, f'{phase} ready', 'GET', '/ready')
            if phase in (Phase.STARTING, Phase.DRAINING):
                await note(made, f'{phase} call', 'POST', chat, json=good)
        made.context.lifecycle.phase = Phase.SERVING
        await note(made, 'models', 'GET', '/v1/models')
        await note(made, 'unknown model', 'POST', chat, json={**good, 'model': 'other'})
        await note(made, 'unknown route', 'GET', '/other')
        await note(made, 'no JSON', 'POST', chat, data=b'{')
        await note(made, 'field missing', 'POST', chat, json={'model': 'm'})
        await note(made, 'too large', 'POST', chat, data=b'x' * 513)
        await note(made, 'deadline', 'POST', chat, json=good, headers={'X-Deadline-S': 'soon'})
        keyed = {'Idempotency-Key': 'k'}
        await note(made, 'key first', 'POST', '/book/a', data=b'1', headers=keyed)
        await note(made, 'key replayed', 'POST', '/book/a', data=b'1', headers=keyed)
        await note(made, 'key reused', 'POST', '/book/a', data=b'2', headers=keyed)
        await note(made, 'whole', 'POST', chat, json=good)
        await note(made, 'streamed', 'POST', chat, json={**good, 'stream': True})
        text = {'model': 'm', 'prompt': 'hi', 'max_tokens': 1}
        await note(made, 'text', 'POST', '/v1/completions', json=text)
        await note(made, 'text streamed', 'POST', '/v1/completions', json={**text, 'stream': True})
        for engine in made.engines.values():
            engine.stream_faults.cut = 9
            engine.model.token_s = 0.05
        once = {**good, 'model': 'once', 'max_tokens': 8}
        await note(made, 'cut', 'POST', chat, json=once)
        await note(made, 'stream cut', 'POST', chat, json={**once, 'stream': True})
        for engine in made.engines.values():
            engine.items.clear()
        await note(made, 'not loaded', 'POST', chat, json=good)
    return found


def test_entry_answers_are_the_recorded_ones() -> None:
    check_recorded('http_entry.txt', asyncio.run(entry_answers()), WHAT_TO_DO)


async def gateway_answers(world: GatewayWorld, found: list[str]) -> None:
    """Fill *found* with the platform's answers that name their reason by status alone."""

    async def note(case: str, path: str, **rest: Any) -> None:
        answer = await world.call(path, **{'Limeshelf_Attempt_Id': 'c', **rest})
        found.append(line(case, answer.status, answer.headers, answer.body))

    async def note_phase(phase: str) -> None:
        frontend = world.gateway.components.frontend
        frontend.phase = type(frontend.phase)(phase)
        url = f'http://127.0.0.1:{world.readiness_port}/readyz'
        async with world.caller.get(url) as answer:
            body = await answer.read()
            found.append(line(f'{phase} ready', answer.status, answer.headers, body))

    no_service = route('lost', 'unsafe', 'lost')
    world.configure(configuration(2, route('unsafe', 'unsafe', 'app'), no_service))
    await world.until(lambda: world.gateway.components.pipeline.config.version == 2)
    await note('unknown route', '/other')
    await note('no such service', '/lost/x')
    await note('no attempt id', '/unsafe/x', Limeshelf_Attempt_Id='')
    await note('deadline no number', '/unsafe/x', Limeshelf_Deadline_Ms='soon')
    await note('deadline too short', '/unsafe/x', Limeshelf_Deadline_Ms='1')
    await note('head too large', '/unsafe/x', X_Long='x' * 5000)
    await note('body too large', '/unsafe/x', body=b'x' * 10001)
    for phase in ('starting', 'serving', 'notice', 'draining'):
        await note_phase(phase)
    await note('draining', '/unsafe/x')
    await note_phase('serving')
    world.gateway.components.active_config.config = None
    await note('no configuration', '/unsafe/x')


def test_gateway_answers_are_the_recorded_ones() -> None:
    found: list[str] = []
    run_gateway(lambda world: gateway_answers(world, found))
    check_recorded('http_gateway.txt', found, WHAT_TO_DO)

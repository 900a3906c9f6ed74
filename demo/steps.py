"""Steps of the demo; each returns a summary of its result, or raises ``StepFailed``."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

from demo.configuration import (
    ADAPTERS,
    BOOKING_ROUTE,
    CLAIM_MODEL,
    MODELS,
    SUMMARY_MODEL,
    configuration,
)
from standins.calls import get, wait_until

if TYPE_CHECKING:
    from standins.launcher import System

#: Number of concurrent streams.
STREAMS = 40
#: Time within which all models must be ready after the configuration is applied.
READY_LIMIT_S = 60.0


class StepFailed(Exception):
    """A step did not give the expected result."""


def check(holds: bool, message: str) -> None:
    """Raise ``StepFailed`` with the text *message* unless *holds*."""
    if not holds:
        raise StepFailed(message)


@attrs.frozen
class Cli:
    """Runs the operator's command line against one admin program."""

    address: str

    def run(self, *arguments: str) -> Any:
        """Run a command and return its JSON reply.

        :raises StepFailed: if the command fails.
        """
        command = [
            sys.executable,
            '-c',
            'from limeshelf.standalone.programs.cli import main; main()',
        ]
        result = subprocess.run(
            [*command, '--address', self.address, '--json', *arguments],
            capture_output=True,
            text=True,
            timeout=30,
        )
        check(
            result.returncode == 0,
            f'limeshelf {" ".join(arguments)}: {result.stdout}{result.stderr}',
        )
        return json.loads(result.stdout)


def apply_configuration(system: System, cli: Cli) -> str:
    """Apply the configuration and wait until it is in force in every process."""
    path = system.folder / 'configuration.json'
    path.write_text(json.dumps(configuration(), indent=1))
    revision = int(cli.run('apply', str(path), '--note', 'demo')['revision'])

    def in_force() -> bool:
        rows = cli.run('status')['processes']
        expected = 3 * len(system.instances)
        return len(rows) == expected and all(int(r['revision']) == revision for r in rows)

    seconds = wait_until(in_force, 10)
    return (
        f'revision {revision} in force at {3 * len(system.instances)} processes, {seconds:.1f} s'
    )


def await_models(system: System) -> str:
    """Wait until every instance lists every model and adapter as ready."""
    expected_items = MODELS * (1 + ADAPTERS)

    def ready() -> bool:
        lists = [get(f'{i.url}/v1/models')['data'] for i in system.instances.values()]
        return all(len(rows) == expected_items and all(r['ready'] for r in rows) for rows in lists)

    seconds = wait_until(ready, READY_LIMIT_S, pause_s=0.2)
    engines = [u for u in system.upstreams.values() if u.line['kind'] == 'engine']
    for engine in engines:
        record = system.record(engine.upstream_id)
        check(not record['overcommits'], f'{engine.upstream_id} was overcommitted')
    return f'{expected_items} items ready on {len(engines)} engines after {seconds:.1f} s'


async def stream_one(session: aiohttp.ClientSession, url: str, caller: str, model: str) -> int:
    """Stream one answer, check each of its tokens, and return their number."""
    body = {
        'model': model,
        'stream': True,
        'max_tokens': 30,
        'messages': [{'role': 'user', 'content': f'note of {caller}'}],
    }
    headers = {'X-Caller': caller}
    async with session.post(f'{url}/v1/chat/completions', json=body, headers=headers) as answer:
        text = await answer.text()
    check(answer.status == 200, f'status {answer.status}: {text}')
    check(text.endswith('data: [DONE]\n\n'), 'the stream has no end')
    events = [json.loads(line[6:]) for line in text.split('\n\n') if line.startswith('data: {')]
    texts = [e['choices'][0]['delta'].get('content', '') for e in events]
    tokens = [text for text in texts if text]
    for index, token in enumerate(tokens):
        parts = token.strip().split('.')
        check(parts[0] == caller and int(parts[2]) == index, f'foreign token {token!r}')
    check(len(tokens) == 30, f'{len(tokens)} tokens of 30')
    return len(tokens)


async def _stream_many(system: System) -> int:
    urls = [instance.url for instance in system.instances.values()]
    models = (CLAIM_MODEL, SUMMARY_MODEL, f'{SUMMARY_MODEL}:depot-1')
    async with aiohttp.ClientSession() as session:
        counts = await asyncio.gather(
            *(
                stream_one(session, urls[n % len(urls)], f'depot-{n}', models[n % len(models)])
                for n in range(STREAMS)
            )
        )
    return sum(counts)


def stream_answers(system: System) -> str:
    """Stream answers concurrently and check each token."""
    tokens = asyncio.run(_stream_many(system))
    return f"{STREAMS} streams at one time, {tokens} tokens, each the caller's own"


async def _book(url: str, key: str) -> tuple[int, str, str]:
    headers = {'Idempotency-Key': key, 'X-Caller': 'depot-7'}
    async with (
        aiohttp.ClientSession() as session,
        session.post(f'{url}{BOOKING_ROUTE}/slots', json={'slot': 9}, headers=headers) as answer,
    ):
        replayed = answer.headers.get('X-Limeshelf-Replayed', 'false')
        return answer.status, replayed, await answer.text()


def book_slot(system: System) -> str:
    """Book a slot, then repeat the call, with the same key, at another instance."""
    first_url, second_url = [i.url for i in system.instances.values()][:2]
    first = asyncio.run(_book(first_url, 'slot-9'))
    second = asyncio.run(_book(second_url, 'slot-9'))
    check(first[0] == 200 and second[0] == 200, f'{first} {second}')
    check(second[1] == 'true' and second[2] == first[2], 'the repeat got another answer')
    runs = [
        run
        for upstream in system.upstreams.values()
        if upstream.line['kind'] == 'plain'
        for run in system.record(upstream.upstream_id)['runs']
        if run['key'] == 'slot-9'
    ]
    check(len(runs) == 1, f'the booking ran {len(runs)} times')
    return 'the booking ran once; its repeat got the same answer'


def swap_policy(system: System, cli: Cli) -> str:
    """Swap the routing policy while streams run."""

    async def swap_while_streaming() -> int:
        streams = asyncio.ensure_future(_stream_many(system))
        await asyncio.to_thread(cli.run, 'policy', 'swap', 'routing', 'near-prefix')
        return await streams

    tokens = asyncio.run(swap_while_streaming())
    return f'swapped under {STREAMS} streams; {tokens} tokens arrived, none refused'


def stop_instance(system: System) -> str:
    """Stop an instance gracefully while it streams; no stream is cut off."""
    instance = list(system.instances.values())[-1]
    code: list[int] = []

    async def stop_while_streaming() -> int:
        async with aiohttp.ClientSession() as session:
            streams = [
                asyncio.ensure_future(
                    stream_one(session, instance.url, f'late-{n}', SUMMARY_MODEL)
                )
                for n in range(10)
            ]
            await asyncio.sleep(0.01)
            code.append(await asyncio.to_thread(instance.programs['entry'].stop))
            return sum(await asyncio.gather(*streams))

    tokens = asyncio.run(stop_while_streaming())
    check(code == [0], f'exit code {code}')
    for name in ('placer', 'admin'):
        check(instance.programs[name].stop() == 0, f'{name} did not stop cleanly')
    system.unlist(instance.instance_id)
    del system.instances[instance.instance_id]
    return f'{instance.instance_id} ended 10 streams ({tokens} tokens), then exited with 0'

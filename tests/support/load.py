"""Concurrent callers that keep a history of every call and check it afterwards."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import threading
import time
import zlib
from collections import Counter
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

if TYPE_CHECKING:
    from standins.launcher import System

POLL_S = 0.1
STREAM_TOKENS = 12
ANSWER_LIMIT_S = 20.0


@attrs.frozen
class Call:
    """One call and its end, as the caller saw it.

    :param outcome: ``completed``, ``not_run``, ``may_have_run``, or what the
        caller's own connection met: ``refused`` or ``dropped``.
    """

    kind: str
    caller: str
    key: str
    instance: str
    started_s: float
    ended_s: float
    status: int
    outcome: str
    whole: bool
    revision: int
    first_s: float = 0.0
    retry_after: str | None = None
    model: str = ''
    reason: str = ''


class Load:
    """Callers behind a balancer that follows readiness with a small lag.

    :param rate_per_s: calls started in a second.
    """

    def __init__(
        self,
        system: System,
        models: list[str],
        rate_per_s: float = 40.0,
        booking_ratio: float = 0.3,
        repeat_ratio: float = 0.3,
        seed: int = 1,
        max_tokens: int = STREAM_TOKENS,
    ) -> None:
        self.system = system
        self.history: list[Call] = []
        self._models = models
        self._rate_per_s = rate_per_s
        self._booking_ratio = booking_ratio
        self._repeat_ratio = repeat_ratio
        self._random = random.Random(seed)
        self._max_tokens = max_tokens
        self._ready: list[tuple[str, str]] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._numbers = 0
        # Keys of one load are never those of another.
        self._name = f'key-{secrets.token_hex(4)}'

    def __enter__(self) -> Load:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Start no more calls, and wait for the ends of those that run."""
        self._stop.set()
        self._thread.join(60)

    def _run(self) -> None:
        asyncio.run(self._main())

    async def _main(self) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            session._retry_connection = False
            balancer = asyncio.ensure_future(self._balance(session))
            running: set[asyncio.Task] = set()
            while not self._stop.is_set():
                if self._ready:
                    task = asyncio.ensure_future(self._call(session))
                    running.add(task)
                    task.add_done_callback(running.discard)
                await asyncio.sleep(1.0 / self._rate_per_s)
            await asyncio.gather(*running)
            balancer.cancel()

    async def _balance(self, session: aiohttp.ClientSession) -> None:
        while True:
            ready = []
            for instance in list(self.system.instances.values()):
                try:
                    limit = aiohttp.ClientTimeout(total=0.5)
                    async with session.get(f'{instance.url}/ready', timeout=limit) as answer:
                        if answer.status == 200:
                            ready.append((instance.instance_id, instance.url))
                except (aiohttp.ClientError, TimeoutError, KeyError):
                    continue
            self._ready = ready
            await asyncio.sleep(POLL_S)

    async def _call(self, session: aiohttp.ClientSession) -> None:
        self._numbers += 1
        number = self._numbers
        instance, url = self._random.choice(self._ready)
        if self._random.random() < self._booking_ratio:
            key = f'{self._name}-{number}'
            tries = 2 if self._random.random() < self._repeat_ratio else 1
            others = [self._random.choice(self._ready) for _ in range(tries)]
            await asyncio.gather(*(self._book(session, *one, number, key) for one in others))
            return
        model = self._random.choice(self._models)
        await self._stream(session, instance, url, number, model)

    async def _book(self, session, instance: str, url: str, number: int, key: str) -> None:
        caller = f'desk-{number}'
        headers = {'Idempotency-Key': key, 'X-Caller': caller}
        started_s = time.monotonic()
        outcome, status, whole, got = 'dropped', 0, False, {}
        try:
            async with session.post(
                f'{url}/booking/slots',
                data=key,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=ANSWER_LIMIT_S),
            ) as answer:
                status, got = answer.status, answer.headers
                body = await answer.read()
                outcome = got.get('X-Limeshelf-Outcome', 'untold')
                whole = outcome != 'completed' or json.loads(body)['echo'] == key
        except aiohttp.ClientConnectorError:
            outcome = 'refused'
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            outcome = 'dropped'
        self._note('book', caller, key, instance, started_s, status, outcome, whole, got)

    async def _stream(self, session, instance: str, url: str, number: int, model: str) -> None:
        caller = f'depot-{number}'
        prompt = f'note {number}'
        body = {
            'model': model,
            'stream': True,
            'max_tokens': self._max_tokens,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        headers = {'X-Caller': caller}
        started_s = time.monotonic()
        outcome, status, whole, got, first_s = 'dropped', 0, False, {}, 0.0
        reason = ''
        try:
            async with session.post(
                f'{url}/v1/chat/completions',
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=ANSWER_LIMIT_S),
            ) as answer:
                status, got = answer.status, answer.headers
                first = await answer.content.readany()
                first_s = time.monotonic() - started_s
                text = (first + await answer.read()).decode()
                if status == 200:
                    outcome, whole = judge_stream(text, caller, prompt, self._max_tokens)
                else:
                    outcome, whole = got.get('X-Limeshelf-Outcome', 'untold'), True
                    reason = json.loads(text)['error']['code']
        except aiohttp.ClientConnectorError:
            outcome = 'refused'
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            outcome = 'dropped'
        self._note(
            'stream',
            caller,
            '',
            instance,
            started_s,
            status,
            outcome,
            whole,
            got,
            first_s,
            model,
            reason,
        )

    def _note(
        self,
        kind,
        caller,
        key,
        instance,
        started_s,
        status,
        outcome,
        whole,
        got,
        first_s=0.0,
        model='',
        reason='',
    ) -> None:
        self.history.append(
            Call(
                kind,
                caller,
                key,
                instance,
                started_s,
                time.monotonic(),
                status,
                outcome,
                whole,
                int(got.get('X-Limeshelf-Revision', 0)),
                first_s,
                got.get('Retry-After'),
                model,
                reason,
            )
        )

    def outcomes(self) -> Counter[str]:
        """Return the number of calls by kind and outcome."""
        return Counter(f'{call.kind} {call.outcome}' for call in self.history)


def judge_stream(text: str, caller: str, prompt: str, tokens: int) -> tuple[str, bool]:
    """Return the outcome of a streamed answer, and whether every token is its own.

    An answer that was cut must say so by an error event; it may not look whole.
    """
    events = [json.loads(e[6:]) for e in text.split('\n\n') if e.startswith('data: {')]
    mark = f'{caller}.{zlib.crc32(f"user: {prompt}".encode()):08x}'
    got = [e['choices'][0]['delta'].get('content', '') for e in events if 'choices' in e]
    got = [token for token in got if token]
    own = all(token == f'{mark}.{index} ' for index, token in enumerate(got))
    errors = [e['error'] for e in events if 'error' in e]
    if errors:
        return errors[-1]['outcome'], own
    ended = text.endswith('data: [DONE]\n\n')
    return ('completed' if ended else 'dropped'), own and (len(got) == tokens or not ended)


def faults_of(history: list[Call], runs: dict[str, int]) -> list[str]:
    """Check a history against what the upstreams ran; return every fault found.

    :param runs: times that each key ran, over all upstreams.
    """
    faults = [
        f'not whole or not own: {call}'
        for call in history
        if call.outcome == 'completed' and not call.whole
    ]
    faults += [f'no outcome told: {call}' for call in history if call.outcome == 'untold']
    faults += [f'{key} ran {n} times' for key, n in runs.items() if key and n > 1]
    told: dict[str, set[str]] = {}
    for call in history:
        if call.key:
            told.setdefault(call.key, set()).add(call.outcome)
    for key, outcomes in told.items():
        ran = runs.get(key, 0) > 0
        if outcomes == {'not_run'} and ran:
            faults.append(f'{key} was told not run and ran')
        if 'completed' in outcomes and not ran:
            faults.append(f'{key} was told completed and did not run')
    return faults + revision_faults(history)


def revision_faults(history: list[Call]) -> list[str]:
    """Return each instance's steps back in revision, between calls that do not overlap."""
    faults = []
    highest: dict[str, tuple[float, int]] = {}
    for call in sorted(history, key=lambda c: c.ended_s):
        if not call.revision:
            continue
        ended_s, revision = highest.get(call.instance, (0.0, 0))
        if call.revision < revision and call.started_s > ended_s:
            faults.append(f'{call.instance} went back to revision {call.revision}: {call}')
        if call.revision >= revision:
            highest[call.instance] = (call.ended_s, call.revision)
    return faults


def key_runs(system: System) -> dict[str, int]:
    """Return how often each key ran, over all plain services."""
    runs: Counter[str] = Counter()
    for upstream in system.upstreams.values():
        if upstream.line['kind'] == 'plain':
            for run in system.record(upstream.upstream_id)['runs']:
                runs[run['key']] += 1
    return dict(runs)


def overcommits(system: System) -> list[Any]:
    """Return every instant at which an engine held more than it can."""
    return [
        found
        for upstream in system.upstreams.values()
        if upstream.line['kind'] == 'engine'
        for found in system.record(upstream.upstream_id)['overcommits']
    ]

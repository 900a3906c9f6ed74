"""Concurrent clients of a running system, behind a readiness-aware load balancer.

They record a history of calls, which :mod:`tests.support.history` checks.
"""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

from tests.support.history import Call, check_stream

if TYPE_CHECKING:
    from standins.launcher import System

#: Interval between two readiness checks by the balancer, in seconds.
POLL_S = 0.1
#: Tokens requested of each streamed response.
STREAM_TOKENS = 12
#: A call that takes longer than this counts as dropped, in seconds.
ANSWER_LIMIT_S = 20.0


@attrs.frozen
class Request:
    """One call to be sent.

    :param options: headers and body, as keyword arguments of the HTTP client.
    """

    kind: str
    url: str
    caller: str
    options: dict[str, Any]
    key: str = ''
    model: str = ''


@attrs.define
class Answer:
    """The result of a call; the default is a dropped connection."""

    status: int = 0
    headers: Mapping[str, str] = attrs.field(factory=dict)
    outcome: str = 'dropped'
    whole: bool = False
    first_s: float = 0.0
    reason: str = ''


class LoadGenerator:
    """Concurrent clients behind a balancer that polls readiness.

    :param rate_per_s: calls started per second.
    :param booking_ratio: share of calls that are bookings; the others are streams.
    :param repeat_ratio: share of bookings that are sent twice at once under the same key.
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
        # Makes the keys of each load unique.
        self._name = f'key-{secrets.token_hex(4)}'

    def __enter__(self) -> LoadGenerator:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop starting calls and wait for those in progress."""
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
            targets = [self._random.choice(self._ready) for _ in range(tries)]
            await asyncio.gather(*(self._book(session, *one, number, key) for one in targets))
            return
        model = self._random.choice(self._models)
        await self._stream(session, instance, url, number, model)

    async def _book(self, session, instance: str, url: str, number: int, key: str) -> None:
        caller = f'desk-{number}'
        headers = {'Idempotency-Key': key, 'X-Caller': caller}
        request = Request(
            'book', f'{url}/booking/slots', caller, {'data': key, 'headers': headers}, key=key
        )

        def evaluate(answer: Answer, text: str) -> None:
            answer.outcome = answer.headers.get('X-Limeshelf-Outcome', 'missing')
            answer.whole = answer.outcome != 'completed' or json.loads(text)['echo'] == key

        await self._send(session, instance, request, evaluate)

    async def _stream(self, session, instance: str, url: str, number: int, model: str) -> None:
        caller = f'depot-{number}'
        prompt = f'note {number}'
        body = {
            'model': model,
            'stream': True,
            'max_tokens': self._max_tokens,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        request = Request(
            'stream',
            f'{url}/v1/chat/completions',
            caller,
            {'json': body, 'headers': {'X-Caller': caller}},
            model=model,
        )

        def evaluate(answer: Answer, text: str) -> None:
            if answer.status == 200:
                answer.outcome, answer.whole = check_stream(text, caller, prompt, self._max_tokens)
            else:
                answer.outcome = answer.headers.get('X-Limeshelf-Outcome', 'missing')
                answer.whole = True
                answer.reason = json.loads(text)['error']['code']

        await self._send(session, instance, request, evaluate)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        instance: str,
        request: Request,
        evaluate: Callable[[Answer, str], None],
    ) -> None:
        """Send *request* and add its result to the history."""
        started_s = time.monotonic()
        answer = Answer()
        try:
            limit = aiohttp.ClientTimeout(total=ANSWER_LIMIT_S)
            async with session.post(request.url, timeout=limit, **request.options) as http:
                answer.status, answer.headers = http.status, http.headers
                first = await http.content.readany()
                answer.first_s = time.monotonic() - started_s
                evaluate(answer, (first + await http.read()).decode())
        except aiohttp.ClientConnectorError:
            answer.outcome = 'refused'
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            answer.outcome = 'dropped'
        self.history.append(
            Call(
                request.kind,
                request.caller,
                request.key,
                instance,
                started_s,
                time.monotonic(),
                answer.status,
                answer.outcome,
                answer.whole,
                int(answer.headers.get('X-Limeshelf-Revision', 0)),
                answer.first_s,
                answer.headers.get('Retry-After'),
                request.model,
                answer.reason,
            )
        )

    def outcomes(self) -> Counter[str]:
        """Return the number of calls by kind and outcome."""
        return Counter(f'{call.kind} {call.outcome}' for call in self.history)

"""A load-generating process for ``make bench``: closed loop, or open loop by rate.

Unlike :mod:`tests.support.load` it keeps no history: it is to cost little itself.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time

import aiohttp
import uvloop

CHAT = {'model': 'm0', 'max_tokens': 1, 'messages': [{'role': 'user', 'content': 'a'}]}
DIRECT = {
    'exchange_id': 'x',
    'item_id': 'm0@1',
    'caller': 'c',
    'prompt': 'user: a',
    'max_tokens': 1,
    'priority': 0,
}


class Client:
    """Sends one kind of request again and again."""

    def __init__(self, url: str, kind: str, tokens: int) -> None:
        through = kind.startswith('through')
        self.path = url + ('/v1/chat/completions' if through else '/v1/generate')
        base = {**(CHAT if through else DIRECT), 'max_tokens': tokens}
        if kind == 'through-stream':
            base['stream'] = True
        self.body = json.dumps(base).encode()
        if kind.endswith('plain'):
            self.path = url + ('/booking/echo' if through else '/echo')
            self.body = b'{"a": 1}'
        self.first_s: list[float] = []
        self.done = 0
        self.failed = 0

    async def once(self, session: aiohttp.ClientSession) -> None:
        """Send one request and note the time to its first byte."""
        started_s = time.perf_counter()
        async with session.post(self.path, data=self.body) as answer:
            await answer.content.readany()
            self.first_s.append(time.perf_counter() - started_s)
            await answer.read()
            self.done += 1
            self.failed += answer.status != 200

    async def closed(self, session, concurrency: int, seconds: float) -> None:
        """Keep a number of requests in flight."""
        end_s = time.perf_counter() + seconds

        async def one() -> None:
            while time.perf_counter() < end_s:
                await self.once(session)

        await asyncio.gather(*(one() for _ in range(concurrency)))

    async def open(self, session, rate_per_s: float, seconds: float) -> None:
        """Start requests at a rate, whatever becomes of them."""
        tasks = []
        started_s = time.perf_counter()
        for number in range(int(rate_per_s * seconds)):
            due_s = started_s + number / rate_per_s
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            tasks.append(asyncio.ensure_future(self.once(session)))
        await asyncio.gather(*tasks)


async def run(arguments: argparse.Namespace) -> None:
    """Send and print the result as one line of JSON."""
    client = Client(arguments.url, arguments.kind, arguments.tokens)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await client.once(session)
        client.first_s.clear()
        client.done = client.failed = 0
        started_s = time.perf_counter()
        if arguments.rate:
            await client.open(session, arguments.rate, arguments.seconds)
        else:
            await client.closed(session, arguments.concurrency, arguments.seconds)
        took_s = time.perf_counter() - started_s
    result = {
        'done': client.done,
        'failed': client.failed,
        'took_s': took_s,
        'first_s': client.first_s,
    }
    print(json.dumps(result))


def main() -> None:
    """Run the client."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('url')
    parser.add_argument('kind')
    parser.add_argument('--tokens', type=int, default=1)
    parser.add_argument('--concurrency', type=int, default=32)
    parser.add_argument('--rate', type=float, default=0.0)
    parser.add_argument('--seconds', type=float, default=3.0)
    uvloop.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()

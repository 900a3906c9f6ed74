"""Load generator process for ``make bench``: closed loop, or open loop at a fixed rate.

Unlike :mod:`tests.support.load` it keeps no history, so that its own cost is low.
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
    """Sends requests of one kind and counts the answers."""

    def __init__(self, url: str, kind: str, tokens: int) -> None:
        is_proxied = kind.startswith('through')
        self.path = url + ('/v1/chat/completions' if is_proxied else '/v1/generate')
        base = {**(CHAT if is_proxied else DIRECT), 'max_tokens': tokens}
        if kind == 'through-stream':
            base['stream'] = True
        self.body = json.dumps(base).encode()
        if kind.endswith('plain'):
            self.path = url + ('/booking/echo' if is_proxied else '/echo')
            self.body = b'{"a": 1}'
        self.first_s: list[float] = []
        self.done = 0
        self.failed = 0

    async def send_one(self, session: aiohttp.ClientSession) -> None:
        """Send one request and record the time to its first byte."""
        started_s = time.perf_counter()
        async with session.post(self.path, data=self.body) as answer:
            await answer.content.readany()
            self.first_s.append(time.perf_counter() - started_s)
            await answer.read()
            self.done += 1
            self.failed += answer.status != 200

    async def run_closed_loop(self, session, concurrency: int, seconds: float) -> None:
        """Closed loop: keep *concurrency* requests in flight."""
        end_s = time.perf_counter() + seconds

        async def send_until_end() -> None:
            while time.perf_counter() < end_s:
                await self.send_one(session)

        await asyncio.gather(*(send_until_end() for _ in range(concurrency)))

    async def run_open_loop(self, session, rate_per_s: float, seconds: float) -> None:
        """Open loop: start requests at a fixed rate, without waiting for answers."""
        tasks = []
        started_s = time.perf_counter()
        for number in range(int(rate_per_s * seconds)):
            due_s = started_s + number / rate_per_s
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            tasks.append(asyncio.ensure_future(self.send_one(session)))
        await asyncio.gather(*tasks)


async def run(arguments: argparse.Namespace) -> None:
    """Send one request to warm up, then measure; print the result as one line of JSON."""
    client = Client(arguments.url, arguments.kind, arguments.tokens)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await client.send_one(session)
        client.first_s.clear()
        client.done = client.failed = 0
        started_s = time.perf_counter()
        if arguments.rate:
            await client.run_open_loop(session, arguments.rate, arguments.seconds)
        else:
            await client.run_closed_loop(session, arguments.concurrency, arguments.seconds)
        took_s = time.perf_counter() - started_s
    result = {
        'done': client.done,
        'failed': client.failed,
        'took_s': took_s,
        'first_s': client.first_s,
    }
    print(json.dumps(result))


def main() -> None:
    """Run the load generator."""
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

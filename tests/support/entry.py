"""The real entry server and its stand-in upstreams, all in the test process."""

from __future__ import annotations

import contextlib
from typing import Any

import aiohttp
import attrs
from aiohttp import web

from limeshelf.metrics.decision_log import DecisionLog
from limeshelf.metrics.statsd import Metrics
from limeshelf.settings.model import EntrySettings, MetricsSettings
from limeshelf.standalone.claims.keeper import ClaimKeeper
from limeshelf.standalone.config.document import Deployment, Document, PlainRoute
from limeshelf.standalone.config.holder import ConfigHolder
from limeshelf.standalone.entry.context import EntryContext
from limeshelf.standalone.entry.demand import DemandCounter
from limeshelf.standalone.entry.lifecycle import Lifecycle, Phase
from limeshelf.standalone.entry.server import EntryServer
from limeshelf.standalone.membership.upstreams import UpstreamDirectory
from limeshelf.standalone.messages import UpstreamState
from limeshelf.standalone.services.instances import Listed, ListedKind
from limeshelf.standalone.upstreams.messages import HeldItem, ItemState
from limeshelf.standalone.upstreams.pool import UpstreamPool
from standins.engine import Engine, EngineModel, engine_app
from standins.plain import PlainService, plain_app
from tests.support.table import FakeTable

HOST = '127.0.0.1'
ENGINES = ('e0', 'e1')
SERVICES = ('s0', 's1')
ITEM = 'm@1'


@attrs.define
class EntryWorld:
    """A running entry server, its upstreams and a client session for request path tests."""

    url: str
    session: aiohttp.ClientSession
    context: EntryContext
    table: FakeTable
    engines: dict[str, Engine]
    services: dict[str, PlainService]
    runners: dict[str, web.AppRunner]

    async def chat(self, **fields: Any) -> tuple[int, dict[str, str], bytes]:
        """Send a chat request; return status, headers and body."""
        headers = fields.pop('headers', {})
        body = {'model': 'm', 'messages': [{'role': 'user', 'content': 'hi'}], **fields}
        return await self.send('POST', '/v1/chat/completions', json=body, headers=headers)

    async def send(self, method: str, path: str, **rest: Any) -> tuple[int, dict[str, str], bytes]:
        """Send a request; return status, headers and body."""
        async with self.session.request(method, self.url + path, **rest) as answer:
            return answer.status, dict(answer.headers), await answer.read()

    async def stop(self, name: str) -> None:
        """Shut down the HTTP server of one stand-in."""
        await self.runners[name].cleanup()

    @property
    def engine_runs(self) -> int:
        return sum(len(engine.runs) for engine in self.engines.values())

    @property
    def service_runs(self) -> int:
        return sum(len(service.runs) for service in self.services.values())


async def _listen(app: web.Application) -> tuple[web.AppRunner, int]:
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.05)
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    return runner, runner.addresses[0][1]


def document() -> Document:
    return Document(
        deployments=[
            Deployment('m', '1', 1 << 30),
            Deployment('once', '1', 1 << 30, repeatable=False),
        ],
        routes=[
            PlainRoute('book', '/book', 'svc', repeatable=False),
            PlainRoute('read', '/read', 'svc', repeatable=True),
        ],
    )


@contextlib.asynccontextmanager
async def entry_world(**entry_settings: Any):
    """Run an entry server in the serving phase before two engines and two plain services."""
    engines = {n: Engine(EngineModel(first_token_s=0.0, token_s=0.0)) for n in ENGINES}
    services = {n: PlainService(n, 0.0) for n in SERVICES}
    upstreams = UpstreamDirectory('x', 3600.0)
    runners, listed = {}, []
    for name, engine in engines.items():
        for item_id in (ITEM, 'once@1'):
            engine.items[item_id] = HeldItem(item_id, ItemState.READY, 1)
        runners[name], port = await _listen(engine_app(engine))
        listed.append(Listed(name, ListedKind.ENGINE, 'x', address=f'{HOST}:{port}'))
    for name, service in services.items():
        runners[name], port = await _listen(plain_app(service))
        address = f'{HOST}:{port}'
        listed.append(Listed(name, ListedKind.PLAIN, 'x', address=address, service='svc'))
    upstreams.take_listed(listed)
    for line in listed:
        boot_id = {**engines, **services}[line.instance_id].boot_id
        items = [ITEM, 'once@1'] if line.kind is ListedKind.ENGINE else []
        state = UpstreamState(line.instance_id, boot_id, 1, True, False, 0, items)
        upstreams.take_state(state)
    config = ConfigHolder()
    config.take_snapshot(1, document())
    table = FakeTable()
    settings = EntrySettings(**entry_settings)
    context = EntryContext(
        instance_id='i',
        settings=settings,
        config=config,
        upstreams=upstreams,
        pool=UpstreamPool(settings.connect_timeout_s),
        claims=ClaimKeeper(table),
        metrics=Metrics(MetricsSettings(), 'test'),
        decisions=DecisionLog(enabled=False),
        demand=DemandCounter('i'),
        lifecycle=Lifecycle(),
    )
    context.lifecycle.enter(Phase.SERVING)
    server = EntryServer(context)
    port = await server.start(HOST, 0, None)
    async with aiohttp.ClientSession() as session:
        session._retry_connection = False
        world = EntryWorld(
            f'http://{HOST}:{port}', session, context, table, engines, services, runners
        )
        try:
            yield world
        finally:
            await server.close()
            await context.pool.close()
            for runner in runners.values():
                await runner.cleanup()

"""Stand-in for the platform: table service, object store, weight store, instance list."""

from __future__ import annotations

import asyncio
from urllib.parse import unquote

import attrs
import msgspec
from aiohttp import web

from limeshelf.standalone.services.instances import Listed
from standins.faults import add_faults


@attrs.define
class StoredRow:
    """A stored row; its version keeps counting after a deletion."""

    version: int = 0
    value: dict | None = None


class Table:
    """Versioned rows with atomic conditional transactions."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}

    def add_routes(self, app: CentreRouter) -> None:
        """Add the routes of this service."""
        app.router.add_get('/rows', self.scan)
        app.router.add_get('/rows/{key}', self.read)
        app.router.add_post('/transact', self.transact)

    def _row(self, key: str) -> dict:
        row = self.rows.get(key, StoredRow())
        version = row.version if row.value is not None else 0
        return {'key': key, 'version': version, 'value': row.value}

    async def read(self, request: web.Request) -> web.Response:
        """Return one row."""
        return web.json_response(self._row(unquote(request.match_info['key'])))

    async def scan(self, request: web.Request) -> web.Response:
        """Return the rows whose key starts with a prefix."""
        prefix = request.query['prefix']
        keys = sorted(k for k, row in self.rows.items() if k.startswith(prefix))
        return web.json_response([self._row(k) for k in keys if self.rows[k].value is not None])

    async def transact(self, request: web.Request) -> web.Response:
        """Write all rows if all conditions hold; otherwise return the rows that differ."""
        body = msgspec.json.decode(await request.read())
        failed = [
            self._row(condition['key'])
            for condition in body['conditions']
            if self._row(condition['key'])['version'] != condition['version']
        ]
        if failed:
            return web.json_response({'rows': failed}, status=409)
        versions = {}
        for write in body['writes']:
            row = self.rows.setdefault(write['key'], StoredRow())
            row.version += 1
            row.value = write['value']
            versions[write['key']] = row.version
        return web.json_response({'versions': versions})


class Objects:
    """Object store: whole values by key."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def add_routes(self, app: CentreRouter) -> None:
        """Add the routes of this service."""
        app.router.add_put('/objects/{key}', self.put)
        app.router.add_get('/objects/{key}', self.get)

    async def put(self, request: web.Request) -> web.Response:
        """Store a value."""
        self.values[request.match_info['key']] = await request.read()
        return web.Response()

    async def get(self, request: web.Request) -> web.Response:
        """Return a value."""
        value = self.values.get(request.match_info['key'])
        return web.Response(status=404) if value is None else web.Response(body=value)


class Weights:
    """Weight store: manifests of the items whose size has been set."""

    def __init__(self) -> None:
        self.sizes: dict[str, int] = {}

    def add_routes(self, app: CentreRouter) -> None:
        """Add the routes of this service."""
        app.router.add_get('/manifests/{item}', self.manifest)
        app.router.add_post('/_weights', self.set_sizes)

    async def set_sizes(self, request: web.Request) -> web.Response:
        """Set the sizes of items, in bytes."""
        self.sizes.update(msgspec.json.decode(await request.read()))
        return web.Response()

    async def manifest(self, request: web.Request) -> web.Response:
        """Return an item's manifest."""
        item_id = unquote(request.match_info['item'])
        if item_id not in self.sizes:
            return web.Response(status=404)
        return web.json_response({'item_id': item_id, 'weights_bytes': self.sizes[item_id]})


class Instances:
    """The instance list; changes become visible after a lag."""

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.visible: dict[str, dict] = {}

    def add_routes(self, app: CentreRouter) -> None:
        """Add the routes of this service."""
        app.router.add_get('/instances', self.list)
        app.router.add_put('/_instances/{id}', self.put)
        app.router.add_delete('/_instances/{id}', self.delete)

    async def list(self, request: web.Request) -> web.Response:
        """Return the visible list."""
        return web.json_response(list(self.visible.values()))

    async def put(self, request: web.Request) -> web.Response:
        """Set one entry; it becomes visible after the lag."""
        entry = msgspec.json.decode(await request.read(), type=Listed)
        plain = msgspec.to_builtins(entry)
        self._apply_after_lag(lambda: self.visible.__setitem__(entry.instance_id, plain))
        return web.Response()

    async def delete(self, request: web.Request) -> web.Response:
        """Remove one entry; it disappears after the lag."""
        instance_id = request.match_info['id']
        self._apply_after_lag(lambda: self.visible.pop(instance_id, None))
        return web.Response()

    def _apply_after_lag(self, change) -> None:
        if self.lag_s <= 0:
            change()
        else:
            asyncio.get_running_loop().call_later(self.lag_s, change)


class CentreRouter:
    """Adds each path twice: as it is, and prefixed with the data centre of the client."""

    def __init__(self, app: web.Application) -> None:
        self.router = self
        self._app = app

    def _add(self, method: str, path: str, handler) -> None:
        self._app.router.add_route(method, path, handler)
        self._app.router.add_route(method, '/at/{centre}' + path, handler)

    def add_get(self, path: str, handler) -> None:
        """Add a path for GET."""
        self._add('GET', path, handler)

    def add_post(self, path: str, handler) -> None:
        """Add a path for POST."""
        self._add('POST', path, handler)

    def add_put(self, path: str, handler) -> None:
        """Add a path for PUT."""
        self._add('PUT', path, handler)

    def add_delete(self, path: str, handler) -> None:
        """Add a path for DELETE."""
        self._add('DELETE', path, handler)


def platform_app(lag_s: float = 0.0) -> web.Application:
    """Return a web application that serves all four services."""
    app = web.Application(client_max_size=64 << 20)
    add_faults(app)
    for service in (Table(), Objects(), Weights(), Instances(lag_s)):
        service.add_routes(CentreRouter(app))
    return app

"""Fault switches that every stand-in has."""

from __future__ import annotations

import attrs
import msgspec
from aiohttp import web

#: Paths of the switches and records themselves; no fault hits them.
CONTROL_PREFIX = '/_'


@attrs.define
class Faults:
    """What goes wrong at present.

    :param down: connections are dropped before anything happens.
    :param lose_answers: this many next requests take effect, and then their
        connection is dropped without an answer.
    :param path_prefix: only paths that start with it are hit.
    :param cut_centres: data centres whose requests do not get through.
    """

    down: bool = False
    lose_answers: int = 0
    path_prefix: str = '/'
    cut_centres: list[str] = attrs.field(factory=list)


def add_faults(app: web.Application) -> Faults:
    """Give *app* its switches under ``/_faults`` and return them."""
    faults = Faults()

    async def switch(request: web.Request) -> web.Response:
        return await set_switches(request, faults)

    @web.middleware
    async def strike(request: web.Request, handler):
        if request.path.startswith(CONTROL_PREFIX):
            return await handler(request)
        if request.match_info.get('centre') in faults.cut_centres:
            return drop(request)
        if not path_of(request).startswith(faults.path_prefix):
            return await handler(request)
        if faults.down:
            return drop(request)
        lose = strikes(faults, 'lose_answers')
        answer = await handler(request)
        return drop(request) if lose else answer

    app.middlewares.append(strike)
    app.router.add_post('/_faults', switch)
    return faults


def strikes(faults: object, name: str) -> bool:
    """Return whether the fault called *name* hits this request; count it down if so."""
    left: int = getattr(faults, name)
    setattr(faults, name, max(0, left - 1))
    return left > 0


async def set_switches(request: web.Request, switches: object) -> web.Response:
    """Set the attributes of *switches* that the JSON body of *request* names."""
    for name, value in msgspec.json.decode(await request.read()).items():
        setattr(switches, name, value)
    return web.Response()


def refuse(leaving: bool) -> web.Response:
    """Refuse a request that was not run; say whether the upstream is leaving."""
    headers = {'X-Not-Run': '1', 'Retry-After': '1'}
    if leaving:
        headers['X-Leaving'] = '1'
    return web.Response(status=503, headers=headers)


def path_of(request: web.Request) -> str:
    """Return the path without the data centre that the request came from."""
    centre = request.match_info.get('centre')
    return request.path if centre is None else request.path.removeprefix(f'/at/{centre}')


def drop(request: web.Request) -> web.Response:
    """Cut the connection of *request*; nothing more is sent on it."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)

"""Fault switches that every stand-in has."""

from __future__ import annotations

import asyncio

import attrs
import msgspec
from aiohttp import web

#: Paths of the switches and records themselves; no fault hits them.
CONTROL_PREFIX = '/_'


@attrs.define
class Faults:
    """What goes wrong at present.

    :param down: connections are dropped before anything happens.
    :param delay_s: answers come later.
    :param lose_answers: this many next requests take effect, and then their
        connection is dropped without an answer.
    :param drop_requests: this many next requests are dropped without effect.
    :param refuse: requests get status 503 without effect.
    :param path_prefix: only paths that start with it are hit.
    :param cut_centres: data centres whose requests do not get through.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    drop_requests: int = 0
    refuse: bool = False
    path_prefix: str = '/'
    cut_centres: list[str] = attrs.field(factory=list)


def add_faults(app: web.Application) -> Faults:
    """Give *app* its switches under ``/_faults`` and return them."""
    faults = Faults()

    async def switch(request: web.Request) -> web.Response:
        for name, value in msgspec.json.decode(await request.read()).items():
            setattr(faults, name, value)
        return web.json_response(attrs.asdict(faults))

    @web.middleware
    async def strike(request: web.Request, handler):
        if request.path.startswith(CONTROL_PREFIX):
            return await handler(request)
        if request.match_info.get('centre') in faults.cut_centres:
            return drop(request)
        if not path_of(request).startswith(faults.path_prefix):
            return await handler(request)
        if faults.down or _strikes(faults, 'drop_requests'):
            return drop(request)
        if faults.refuse:
            return web.Response(status=503)
        lose = _strikes(faults, 'lose_answers')
        answer = await handler(request)
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        return drop(request) if lose else answer

    app.middlewares.append(strike)
    app.router.add_post('/_faults', switch)
    return faults


def _strikes(faults: Faults, name: str) -> bool:
    left: int = getattr(faults, name)
    setattr(faults, name, max(0, left - 1))
    return left > 0


def path_of(request: web.Request) -> str:
    """Return the path without the data centre that the request came from."""
    centre = request.match_info.get('centre')
    return request.path if centre is None else request.path.removeprefix(f'/at/{centre}')


def drop(request: web.Request) -> web.Response:
    """Cut the connection of *request*; nothing more is sent on it."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)

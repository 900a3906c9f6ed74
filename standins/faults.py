"""Fault switches common to all stand-ins."""

from __future__ import annotations

import attrs
import msgspec
from aiohttp import web

#: Prefix of the paths that set switches and return records; exempt from faults.
CONTROL_PREFIX = '/_'


@attrs.define
class Faults:
    """Fault switches of a stand-in.

    :param down: connections are dropped before the request is handled.
    :param lose_answers: number of following requests that take effect but whose
        connection is dropped without an answer.
    :param path_prefix: only requests for paths with this prefix are affected.
    :param cut_centres: data centres whose requests are dropped.
    """

    down: bool = False
    lose_answers: int = 0
    path_prefix: str = '/'
    cut_centres: list[str] = attrs.field(factory=list)


def add_faults(app: web.Application) -> Faults:
    """Add fault injection to *app*; return its switches, which ``/_faults`` sets."""
    faults = Faults()

    async def switch(request: web.Request) -> web.Response:
        return await set_switches(request, faults)

    @web.middleware
    async def inject_faults(request: web.Request, handler):
        if request.path.startswith(CONTROL_PREFIX):
            return await handler(request)
        if request.match_info.get('centre') in faults.cut_centres:
            return drop(request)
        if not path_without_centre(request).startswith(faults.path_prefix):
            return await handler(request)
        if faults.down:
            return drop(request)
        lose = consume_fault(faults, 'lose_answers')
        answer = await handler(request)
        return drop(request) if lose else answer

    app.middlewares.append(inject_faults)
    app.router.add_post('/_faults', switch)
    return faults


def consume_fault(faults: object, name: str) -> bool:
    """Return whether the fault *name* applies to this request; count it down if so."""
    left: int = getattr(faults, name)
    setattr(faults, name, max(0, left - 1))
    return left > 0


async def set_switches(request: web.Request, switches: object) -> web.Response:
    """Set the attributes of *switches* given in the JSON body of *request*."""
    for name, value in msgspec.json.decode(await request.read()).items():
        setattr(switches, name, value)
    return web.Response()


def refuse(leaving: bool) -> web.Response:
    """Return the refusal of a request that was not run, marked if the upstream is leaving."""
    headers = {'X-Not-Run': '1', 'Retry-After': '1'}
    if leaving:
        headers['X-Leaving'] = '1'
    return web.Response(status=503, headers=headers)


def path_without_centre(request: web.Request) -> str:
    """Return the path of *request* without the prefix of its data centre."""
    centre = request.match_info.get('centre')
    return request.path if centre is None else request.path.removeprefix(f'/at/{centre}')


def drop(request: web.Request) -> web.Response:
    """Abort the connection of *request*; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)

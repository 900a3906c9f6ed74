"""``python -m standins KIND``: runs one stand-in as its own process."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from typing import Annotated

import typer
import uvloop
from aiohttp import web

from standins.engine import Engine, EngineModel, engine_app
from standins.plain import PlainService, plain_app
from standins.platform import platform_app
from standins.relay import relay_app

program = typer.Typer(no_args_is_help=True, pretty_exceptions_enable=False)
Port = Annotated[int, typer.Option(help='TCP port; 0 lets the system choose.')]


async def _serve(app: web.Application, port: int) -> None:
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port, backlog=1024).start()
    sys.stdout.write(json.dumps({'http_port': runner.addresses[0][1]}) + '\n')
    sys.stdout.flush()
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


def _run(app: web.Application, port: int) -> None:
    os.environ['UV_USE_IO_URING'] = '0'
    try:
        uvloop.run(_serve(app, port))
    except KeyboardInterrupt:
        return


@program.command()
def platform(port: Port = 0, lag_s: float = 0.0) -> None:
    """Run table service, object store, weight store and instance list."""
    _run(platform_app(lag_s), port)


@program.command()
def gate(port: Port = 0) -> None:
    """Run TCP relays that can be cut."""
    _run(relay_app(), port)


@program.command()
def engine(
    name: str,
    port: Port = 0,
    capacity_bytes: int = 80 << 30,
    slots: int = 16,
    first_token_s: float = 0.005,
    token_s: float = 0.001,
    load_s: float = 0.05,
    lag_s: float = 0.1,
    tokens_per_write: int = 1,
    checks_fence: bool = True,
) -> None:
    """Run a model engine; its name only shows in the list of processes."""
    model = EngineModel(
        capacity_bytes,
        slots,
        first_token_s,
        token_s,
        load_s,
        lag_s,
        checks_fence,
        tokens_per_write,
    )
    _run(engine_app(Engine(model)), port)


@program.command()
def plain(name: str, port: Port = 0, call_s: float = 0.001) -> None:
    """Run a replica of a plain service."""
    _run(plain_app(PlainService(name, call_s)), port)


if __name__ == '__main__':
    program()

"""Runs a program on the event loop: settings, logs, signals, planned stop, exit code.

Owns the exit codes and the signal handlers. Relies on the program's service for what is
started and stopped.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from typing import TYPE_CHECKING

import msgspec
import uvloop
from absl import logging
from aiomisc import Service, entrypoint

from limeshelf.errors import InvalidDocument
from limeshelf.settings.load import load_settings
from limeshelf.standalone.programs.logs import set_up_logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from limeshelf.settings.model import Settings

#: Exit codes of the programs.
EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_CUT_OFF = 3
#: Read by libuv when the first loop is made. Without it, uvloop 0.19 to 0.22
#: open two io_uring descriptors where the kernel has them
#: (tests/features/path.feature); 0.23 no longer reads it, hence the pin.
IO_URING_SWITCH = 'UV_USE_IO_URING'
#: New objects between two collections of the youngest generation. One run of ``make bench``:
#: added first byte time (p99) 3.41 ms, 3.62 ms without, part of it by the machine.
COLLECT_AFTER_OBJECTS = 20_000
#: Collections of a generation between two of the next older one.
COLLECT_MIDDLE_AFTER = 20
COLLECT_OLDEST_AFTER = 50
#: The programs do no blocking work, so the thread pool stays small.
POOL_THREADS = 2


class ProgramService(Service):
    """Base of the services that the programs run."""

    settings: Settings

    async def drain(self, at_once: asyncio.Event) -> int:
        """Stop as planned; return the exit code.

        :param at_once: set by a second signal; ends every wait.
        """
        raise NotImplementedError

    def announce(self, **ports: int) -> None:
        """Print one line of JSON with the ports that were bound."""
        line = {
            'program': type(self).__name__,
            'instance_id': self.settings.instance_id,
            **ports,
        }
        sys.stdout.write(msgspec.json.encode(line).decode() + '\n')
        sys.stdout.flush()


def run_program(settings_file: Path, make: Callable[[Settings], ProgramService]) -> int:
    """Run a program until a signal stops it; return its exit code."""
    try:
        settings = load_settings(settings_file)
        return _run_service(make(settings), settings)
    except InvalidDocument as error:
        for problem in error.problems:
            sys.stderr.write(f'{settings_file}: {problem.path}: {problem.message}\n')
        return EXIT_BAD_SETTINGS


def _run_service(service: ProgramService, settings: Settings) -> int:
    os.environ[IO_URING_SWITCH] = '0'
    set_up_logs(settings.logs)
    _tune_the_collector()
    # aiomisc's own signal handling ends the loop at once; a planned stop takes
    # its time, so the signals are handled here.
    with entrypoint(
        service,
        log_config=False,
        pool_size=POOL_THREADS,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        return loop.run_until_complete(_until_stopped(service))


def _tune_the_collector() -> None:
    """Keep garbage collection off the objects made at the start, and rarer.

    Requests make few cycles; with the usual thresholds full collections walked
    every module again and showed in the tail of the first byte times
    (``make bench``).
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS, COLLECT_MIDDLE_AFTER, COLLECT_OLDEST_AFTER)


async def _until_stopped(service: ProgramService) -> int:
    first = asyncio.Event()
    second = asyncio.Event()

    def on_signal() -> None:
        (second if first.is_set() else first).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await first.wait()
    logging.info('program=stopping')
    return await service.drain(second)

"""What signals do to a gateway process, from its first lines to its end.

``SIGHUP`` tells a process that its settings have changed; unhandled, it ends the process. A
starting process ignores it, as :mod:`limeshelf.programs.settings_watch` also checks the file
without a signal. A process that has stopped serving ignores all these signals, so that it closes
everything and exits with its own status.

The event loop's own signal handlers are not used, since a loop that is closed restores the default
effects while the process has still to exit.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def ignore_reload() -> None:
    """Let SIGHUP have no effect until the process handles it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def handle_signals(
    loop: asyncio.AbstractEventLoop, stop: Callable[[], object], reload: Callable[[], object]
) -> None:
    """Call *stop* or *reload* in the event loop when the process gets a signal.

    To be undone by :func:`ignore_signals` before the loop is closed.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, lambda *_: loop.call_soon_threadsafe(stop))
    signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(reload))


def ignore_signals() -> None:
    """Let these signals have no effect until the process has exited."""
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)

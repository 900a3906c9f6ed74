"""Start, service, planned stop: which phase an entry process is in.

Owns the phase and the count of running requests. Relies on the program for the signals
and the times of a planned stop.
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Awaitable


class Phase(enum.StrEnum):
    """Phases in their order; no phase comes back."""

    STARTING = 'starting'
    SERVING = 'serving'
    NOTICE = 'notice'
    DRAINING = 'draining'


class Lifecycle:
    """Counts running requests and walks through the phases."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send new connections."""
        return self.phase is Phase.SERVING

    @property
    def takes_requests(self) -> bool:
        """Return whether a new request is served.

        During the notice it is: the balancer may not have seen yet that
        readiness fails.
        """
        return self.phase in (Phase.SERVING, Phase.NOTICE)

    def enter(self, phase: Phase) -> None:
        """Go on to *phase*."""
        self.phase = phase
        logging.info('entry=state phase=%s running=%d', phase, self.running)

    def __enter__(self) -> None:
        """Count a request as running."""
        self.running += 1
        self._idle.clear()

    def __exit__(self, *_: object) -> None:
        """Count it as ended."""
        self.running -= 1
        if self.running == 0:
            self._idle.set()

    async def drain(self, notice_s: float, limit_s: float, at_once: asyncio.Event) -> int:
        """Stop as planned; return the number of requests cut off.

        :param notice_s: time the balancer needs to see that readiness fails.
        :param limit_s: longest wait for running requests.
        :param at_once: set by a second signal; ends the wait.
        """
        self.enter(Phase.NOTICE)
        await _first(asyncio.sleep(notice_s), at_once)
        self.enter(Phase.DRAINING)
        if not at_once.is_set():
            await _first(asyncio.wait_for(self._idle.wait(), limit_s), at_once)
        if self.running:
            logging.error('entry=cut_off requests=%d', self.running)
        return self.running


async def _first(wait: Awaitable[object], at_once: asyncio.Event) -> None:
    """Wait for *wait*, or until *at_once* is set."""
    waiting = asyncio.ensure_future(wait)
    signalled = asyncio.ensure_future(at_once.wait())
    await asyncio.wait({waiting, signalled}, return_when=asyncio.FIRST_COMPLETED)
    for task in (waiting, signalled):
        task.cancel()
    await asyncio.gather(waiting, signalled, return_exceptions=True)

"""Waits for the store's answers for a limited time, without losing those that come later.

A call that has taken too long (:mod:`limeshelf.platform.silence`) counts as failed, so that its
caller can go on, but its answer is still received: its content is as true as that of any other,
and its duration shows how long to wait for the next one.

Owns the calls whose answers are late.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import attrs

from limeshelf.errors import AnswerLate, LimeshelfError
from limeshelf.metrics.event_log import log_change
from limeshelf.platform.silence import SilenceLimit
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from limeshelf.platform.silence import Progress

#: Late calls of one kind that are waited for: the second one has another connection, if the
#: first one's has failed silently.
MAX_LATE_CALLS = 2
#: A late call is given up after this time.
LATE_CALL_LIFE_S = 60.0

T = TypeVar('T')


@attrs.define(eq=False)
class _LateCall:
    task: asyncio.Task[Any]
    started_s: float


class LateCalls:
    """Waits for calls to the store, and keeps those that are late until they are answered.

    :param service: name of the service in errors.
    """

    def __init__(self, service: str) -> None:
        self.limit = SilenceLimit()
        self._service = service
        self._by_kind: dict[str, list[_LateCall]] = {}

    async def wait(self, call: Coroutine[Any, Any, T], progress: Progress, kind: str) -> T:
        """Return the result of a call.

        :param progress: updated by the call.
        :param kind: calls of one kind supersede each other: once one is answered, late ones that
            began before it are given up.
        :raises AnswerLate: it has taken too long; the answer may still arrive.
        """
        started_s = boottime_s()
        task = asyncio.create_task(call)
        try:
            while not task.done() and (left_s := progress.left_s) > 0.0:
                await asyncio.wait({task}, timeout=left_s)
        except asyncio.CancelledError:
            task.cancel()
            raise
        if not task.done():
            self._keep(_LateCall(task, started_s), kind)
            raise AnswerLate(self._service, task)
        result = task.result()
        self._give_up_before(started_s, kind)
        return result

    def _keep(self, late: _LateCall, kind: str) -> None:
        oldest_s = boottime_s() - LATE_CALL_LIFE_S
        self._give_up_before(oldest_s, kind)
        kept = self._by_kind.setdefault(kind, [])
        if len(kept) == MAX_LATE_CALLS:
            late.task.cancel()
            return
        kept.append(late)
        late.task.add_done_callback(lambda task: self._handle_end(late, kind))

    def _handle_end(self, late: _LateCall, kind: str) -> None:
        kept = self._by_kind[kind]
        if late in kept:
            kept.remove(late)
        if late.task.cancelled():
            return
        error = late.task.exception()
        if error is not None and not isinstance(error, LimeshelfError):
            raise error
        took_ms = int((boottime_s() - late.started_s) * MS_PER_S)
        log_change('store_answer_late', call=kind, took_ms=took_ms, error=repr(error or ''))
        if error is None:
            self._give_up_before(late.started_s, kind)

    def _give_up_before(self, started_s: float, kind: str) -> None:
        for late in list(self._by_kind.get(kind, ())):
            if late.started_s < started_s:
                late.task.cancel()

    def close(self) -> None:
        """Give up all late calls."""
        for kind in self._by_kind:
            self._give_up_before(boottime_s(), kind)

"""Waits for the store's answers for a limited time, without losing those that come later.

No fixed limit tells a store that is slow from one that is gone. A call that has taken too long
counts as failed, so that its caller can go on, but its answer is still received: its content is as
true as that of any other, and its duration shows how long to wait for the next one.

Owns the calls whose answers are late.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import attrs

from limeshelf.errors import AnswerLate, LimeshelfError
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from collections.abc import Coroutine

#: Time without a byte from the store after which a call counts as failed, at least...
MIN_SILENCE_S = 1.2
#: ...and at most, for reads: the content of a late answer counts, and a store that is sound again
#: answers a new call at once...
MAX_READ_SILENCE_S = 3.0
#: ...and for writes, whose late answers only show how long to wait.
MAX_WRITE_SILENCE_S = 10.0
#: Time after which a call counts as failed although its answer is arriving.
MAX_CALL_S = 10.0
#: Share of the limit within which a connection should be open. Opening one takes the other end's
#: operating system only, however busy its programs are.
CONNECT_SHARE = 0.5
#: Ratio of the limit to the longest silence before recent answers.
SILENCE_MARGIN = 2.0
#: Share of that silence which remains after an answer that came sooner.
DECAY = 0.5
#: Late calls of one kind that are waited for: the second one has another connection, if the
#: first one's has failed silently.
MAX_LATE_CALLS = 2
#: A late call is given up after this time.
LATE_CALL_LIFE_S = 60.0

T = TypeVar('T')


class SilenceLimit:
    """The time for which the store may send nothing, adapted to its recent answers."""

    def __init__(self) -> None:
        self._recent_s = 0.0

    def limit_s(self, max_s: float) -> float:
        """Return the limit, in seconds, which is at most *max_s*."""
        return min(max_s, max(MIN_SILENCE_S, SILENCE_MARGIN * self._recent_s))

    def record(self, silence_s: float) -> None:
        """Record the silence before an answer, in seconds."""
        self._recent_s = max(silence_s, DECAY * self._recent_s)


@attrs.define
class Progress:
    """When a call last received something from the store.

    :param max_silence_s: largest limit, in seconds.
    :ivar wait_s: for how long the store may hold the request that is sent next, in seconds.
    """

    limit: SilenceLimit
    max_silence_s: float = MAX_READ_SILENCE_S
    wait_s: float = 0.0
    _started_s: float = attrs.field(factory=boottime_s)
    _heard_s: float = attrs.field(factory=boottime_s)
    _share: float = 1.0

    def begin_connecting(self) -> None:
        """Record that a connection is being opened."""
        self._heard_s = boottime_s()
        self._share = CONNECT_SHARE

    def record_connected(self) -> None:
        """Record that the connection is open."""
        self.limit.record((boottime_s() - self._heard_s) / CONNECT_SHARE)
        self.begin_request()

    def begin_request(self) -> None:
        """Record that a request is sent."""
        self._heard_s = boottime_s() + self.wait_s
        self._share = 1.0

    def record_head(self) -> None:
        """Record the head of an answer, whose delay shows how long the store takes."""
        silence_s = boottime_s() - self._heard_s
        if silence_s >= 0.0:
            self.limit.record(silence_s)
        self.record_part()

    def record_part(self) -> None:
        """Record a part of an answer's body."""
        self._heard_s = boottime_s()

    @property
    def left_s(self) -> float:
        """Return how much longer the call may take if nothing arrives meanwhile, in seconds."""
        silent_until_s = self._heard_s + self._share * self.limit.limit_s(self.max_silence_s)
        end_s = self._started_s + self.wait_s + MAX_CALL_S
        return min(silent_until_s, end_s) - boottime_s()


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

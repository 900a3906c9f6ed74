"""The outcome of one call, derived from its log lines.

Owns the rules that derive how a call ended and why it was not served in time. Uses the events
``attempt``, ``refused_overloaded``, ``refused_no_replica``, ``refused`` and ``failed``; one of
these lines is sufficient.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.account.lines import LogEvent

#: Events about a single call.
CALL_EVENTS = frozenset(
    {'attempt', 'refused_overloaded', 'refused_no_replica', 'refused', 'failed', 'invalid'}
)
#: Reasons of refusals that are the fault of the caller; such calls are not counted.
CALLER_FAULTS = frozenset({'unknown_route'})
#: Lowest status that reports a failure of the replica.
STATUS_SERVER_ERROR = 500


class Ending(enum.StrEnum):
    """How a call ended for its caller."""

    IN_TIME = 'in_time'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'


class Cause(enum.StrEnum):
    """Why a call was not served in time."""

    NONE = ''
    MODEL_ABSENT = 'no replica held the model'
    ADAPTER_ABSENT = 'no replica held the adapter'
    NO_ROOM = 'replicas that held it had no room in time'
    WAITED = 'served after it had waited too long for a replica'
    SLOW_FIRST = 'the replica began the answer late'
    PAUSED = 'the answer paused for too long'
    BROKEN = 'the answer broke off'
    NO_TIME = 'its time was over'
    REPLICA_FAILED = 'the replica answered with a failure'
    REPLICA_REFUSED = 'replicas refused it, or were not reached'
    STARTING = 'the gateway was starting'
    STOPPING = 'the gateway was stopping'
    OTHER = 'another reason'


_REFUSAL_CAUSES = {
    'overloaded': Cause.NO_ROOM,
    'no_ready_replica': Cause.MODEL_ABSENT,
    'deadline_too_short': Cause.NO_TIME,
    'upstream_refused': Cause.REPLICA_REFUSED,
    'stopping': Cause.STOPPING,
    'starting': Cause.STARTING,
}


@attrs.define(slots=True)
class CallRecord:
    """The data of one call, from its log lines.

    :ivar at_s: wall clock time of its first line.
    :ivar waited_ms: time from its arrival to its last send, or to its refusal.
    :ivar objective_ms: latency objective for its first event or answer; 0 if unknown.
    :ivar returned: whether the gateway assumed it to be a retry of a refused call.
    :ivar retry_after_s: retry delay that its refusal stated.
    """

    call_id: str
    at_s: float
    instance: str = ''
    route: str = ''
    service: str = ''
    model: str = ''
    adapter: str = ''
    replica: str = ''
    result: str = ''
    detail: str = ''
    status: int = 0
    attempts: int = 0
    waited_ms: float = 0.0
    first_ms: float = 0.0
    pause_ms: float = 0.0
    objective_ms: float = 0.0
    pause_limit_ms: float = 0.0
    refusal: str = ''
    absent: bool = False
    overloaded: bool = False
    model_held: bool = False
    returned: bool = False
    retry_after_s: float | None = None

    def add_event(self, event: LogEvent) -> None:
        """Add one line of the call."""
        fields = event.fields
        self.at_s = min(self.at_s, event.at_s)
        self.instance = event.instance or self.instance
        for name in ('route', 'service', 'model', 'adapter'):
            setattr(self, name, fields.get(name) or getattr(self, name))
        self.objective_ms = fields.get('objective_ms') or self.objective_ms
        self.pause_limit_ms = fields.get('pause_limit_ms') or self.pause_limit_ms
        self.waited_ms = max(self.waited_ms, fields.get('waited_ms') or 0)
        self.returned = self.returned or bool(fields.get('returned'))
        if event.name == 'attempt':
            self._add_attempt(event)
        elif event.name == 'refused_overloaded':
            self.overloaded = True
        elif event.name == 'refused_no_replica':
            self.absent = True
            self.model_held = bool(fields.get('model_held'))
        elif event.name == 'refused':
            self.refusal = str(fields.get('reason') or 'other')
            self.retry_after_s = fields.get('retry_after_s')
        elif event.name == 'failed':
            self.status = int(fields.get('status') or 0)

    def _add_attempt(self, event: LogEvent) -> None:
        fields = event.fields
        self.attempts += 1
        self.replica = str(fields.get('replica') or '')
        self.result = str(fields.get('result') or '')
        self.detail = str(fields.get('detail') or '')
        self.status = int(fields.get('status') or 0)
        self.first_ms = fields.get('first_ms') or 0
        self.pause_ms = fields.get('pause_ms') or 0

    @property
    def is_counted(self) -> bool:
        """Return whether the call is counted: not if it was refused by the caller's own fault."""
        return self.refusal not in CALLER_FAULTS

    @property
    def ending(self) -> Ending:
        """Return how the call ended."""
        return self._classify()[0]

    @property
    def cause(self) -> Cause:
        """Return why it was not served in time; :attr:`Cause.NONE` if it was."""
        return self._classify()[1]

    def _classify(self) -> tuple[Ending, Cause]:
        if self.refusal:
            return Ending.REFUSED, self._refusal_cause()
        if self.result == 'Delivered':
            return self._classify_answer()
        if self.result == 'WholeAnswer':
            if self.status >= STATUS_SERVER_ERROR:
                return Ending.FAILED, Cause.REPLICA_FAILED
            return self._classify_answer()
        if self.detail == 'time_over':
            return Ending.FAILED, Cause.NO_TIME
        if self.result == 'Broken':
            return Ending.FAILED, Cause.BROKEN
        return Ending.FAILED, Cause.REPLICA_REFUSED if self.result else Cause.OTHER

    def _refusal_cause(self) -> Cause:
        if self.overloaded:
            return Cause.NO_ROOM
        if self.absent and self.adapter and self.model_held:
            return Cause.ADAPTER_ABSENT
        return _REFUSAL_CAUSES.get(self.refusal, Cause.OTHER)

    def _classify_answer(self) -> tuple[Ending, Cause]:
        if self.objective_ms and self.waited_ms + self.first_ms > self.objective_ms:
            waited_longer = self.waited_ms > self.first_ms
            return Ending.LATE, Cause.WAITED if waited_longer else Cause.SLOW_FIRST
        if self.pause_limit_ms and self.pause_ms > self.pause_limit_ms:
            return Ending.LATE, Cause.PAUSED
        return Ending.IN_TIME, Cause.NONE

"""The state of one call: its attempts, their results and the time left."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.admission.wait_limits import is_retry
from limeshelf.calls.call import CallKind
from limeshelf.calls.fingerprint import Fingerprint, fingerprint_of, part_fingerprints
from limeshelf.gateway.endings import CallProgress
from limeshelf.gateway.events import EventSplitter
from limeshelf.gateway.results import (
    CarriedAnswer,
    Delivered,
    FailureCause,
    NeverRan,
    NotCarried,
    NotSent,
)
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    import asyncio

    from limeshelf.calls.call import Call
    from limeshelf.calls.routes import Route, ServiceSpec
    from limeshelf.gateway.answer import Answer
    from limeshelf.gateway.results import AttemptResult
    from limeshelf.organisations.organisation import Organisation
    from limeshelf.organisations.usage import Reservation


@attrs.define
class BegunAnswer:
    """The answer of an attempt that has begun.

    :ivar is_proof: whether it shows that the call did not crash the replica.
    :ivar timer: sets that once the replica has gone on for a while.
    """

    is_proof: bool = False
    timer: asyncio.TimerHandle | None = None

    def cancel_timer(self) -> None:
        """Do not wait any longer for whether the replica goes on."""
        if self.timer is not None:
            self.timer.cancel()


@attrs.define
class CallState:
    """The state of a call.

    :ivar answer: through which the caller is answered.
    :ivar deadline_s: when its final answer must be sent, on the boot clock.
    :ivar organisation: holder of its key; ``None`` without one.
    :ivar reservation: its share of the organisation's limit; ``None`` without a limit.
    :ivar splitter: keeps the position in a stream across attempts.
    :ivar runs: number of replicas that ran it or may have run it.
    :ivar sends: number of attempts so far that a replica may have received.
    :ivar refusals: number of attempts that surely did not run it.
    :ivar excluded: ids of replicas that it is not sent to again.
    :ivar unreached: those of them that it was not sent to, since no connection could be opened.
    :ivar asked: addresses of the gateways that were asked to carry it.
    :ivar is_forwarded: whether another gateway forwarded it to this one.
    :ivar last_result: result of the latest attempt.
    :ivar waited_s: time from its arrival to the latest send, in seconds.
    :ivar fingerprint: identifies its content; the same for each retry of the caller.
    :ivar parts: fingerprints of the parts of its prompt, without the last one.
    :ivar version: software version at which its stream must go on; ``None`` while any will do.
    :ivar config_version: version of the configuration that its route is from.
    :ivar config_age_s: for how long that may have been outdated when the call arrived, in seconds;
        infinite if not known.
    :ivar begun: that its latest attempt has begun to be answered; ``None`` before.
    """

    call: Call
    answer: Answer
    route: Route
    service: ServiceSpec
    deadline_s: float
    organisation: Organisation | None = None
    reservation: Reservation | None = None
    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    runs: int = 0
    sends: int = 0
    refusals: int = 0
    excluded: set[str] = attrs.field(factory=set)
    unreached: set[str] = attrs.field(factory=set)
    asked: set[str] = attrs.field(factory=set)
    is_forwarded: bool = False
    last_result: AttemptResult | None = None
    waited_s: float = 0.0
    fingerprint: Fingerprint = attrs.Factory(
        lambda self: fingerprint_of(self.call), takes_self=True
    )
    parts: tuple[Fingerprint, ...] = attrs.Factory(
        lambda self: part_fingerprints(self.call), takes_self=True
    )
    begun: BegunAnswer | None = None
    version: str | None = None
    config_version: int = 0
    config_age_s: float = math.inf

    @property
    def is_resumable_stream(self) -> bool:
        """Return whether its stream may go on at another replica."""
        return self.route.kind is CallKind.STREAM and self.route.repeatable

    def begin_attempt(self) -> None:
        """Count an attempt that starts now."""
        self.sends += 1
        self.begun = None
        if self.reservation is not None:
            self.reservation.record_sent()
        self.waited_s = self.since_arrival_s

    def record_result(self, result: AttemptResult) -> None:
        """Count the result of an attempt."""
        self.last_result = result
        if isinstance(result, NeverRan | NotSent | NotCarried):
            self._record_not_run(result)
        elif not isinstance(result, Delivered | CarriedAnswer):
            self.runs += 1

    def _record_not_run(self, result: NeverRan | NotSent | NotCarried) -> None:
        is_withheld = isinstance(result, NotSent) and result.cause is FailureCause.WITHHELD
        if not isinstance(result, NeverRan) or not result.reached:
            # No replica received anything, so the next send is not a retry.
            self.sends -= 1
        if not is_withheld and not isinstance(result, NotCarried):
            self.refusals += 1
        if self.reservation is not None:
            self.reservation.record_not_run()

    def record_excluded(self, replica_id: str, *, reached: bool) -> None:
        """Record that the call is not sent to a replica again.

        :param reached: whether there was a connection to it.
        """
        self.excluded.add(replica_id)
        if not reached:
            self.unreached.add(replica_id)

    def clear_excluded(self) -> None:
        """Allow all replicas and gateways again."""
        self.excluded.clear()
        self.unreached.clear()
        self.asked.clear()

    def progress(self) -> CallProgress:
        """Return the state on which the ending of the call depends."""
        return CallProgress(
            self.route, self.runs, self.last_result, self.left_s, self.answer.started
        )

    @property
    def priority(self) -> int:
        """Return the priority of the call; 0 is the most urgent.

        The priority of its organisation overrides that of its route.
        """
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def is_caller_retry(self) -> bool:
        """Return whether this is likely a retry of a call that was refused."""
        return is_retry(self.route, self.call.caller_timeout_s)

    @property
    def since_arrival_s(self) -> float:
        """Return the time since the call arrived, in seconds."""
        return boottime_s() - self.call.arrived_s

    @property
    def left_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline_s - boottime_s()

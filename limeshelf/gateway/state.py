"""How far one call has come: its attempts, what they gave, the time that is left."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.admission.patience import has_returned
from limeshelf.calls.fingerprint import Fingerprint, fingerprint_of
from limeshelf.gateway.events import EventSplitter
from limeshelf.gateway.exchange import BrokenBy, Delivered, NeverRan, NotSent
from limeshelf.gateway.settling import Progress
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.call import Call
    from limeshelf.calls.routes import Route, ServiceSpec
    from limeshelf.gateway.answer import Answer
    from limeshelf.gateway.exchange import Result
    from limeshelf.organisations.organisation import Organisation
    from limeshelf.organisations.usage import Reservation


@attrs.define
class CallState:
    """How far a call has come.

    :ivar answer: where its answer goes.
    :ivar organisation: that holds its key; ``None`` without one.
    :ivar reservation: of what it uses of its organisation's limit; ``None`` without a limit.
    :ivar ends_s: when its final answer must go out, on the steady clock.
    :ivar splitter: keeps the place in a stream across attempts.
    :ivar runs: replicas that ran it or may have run it.
    :ivar sends: attempts so far.
    :ivar refusals: attempts that surely did not run it.
    :ivar excluded: ids of replicas that it is not sent to again.
    :ivar last: what the latest attempt gave.
    :ivar waited_s: time from its arrival to the latest send, in seconds.
    :ivar fingerprint: the same for each try of the caller.
    """

    call: Call
    answer: Answer
    route: Route
    service: ServiceSpec
    ends_s: float
    organisation: Organisation | None = None
    reservation: Reservation | None = None
    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    runs: int = 0
    sends: int = 0
    refusals: int = 0
    excluded: set[str] = attrs.field(factory=set)
    last: Result | None = None
    waited_s: float = 0.0
    fingerprint: Fingerprint = attrs.Factory(
        lambda self: fingerprint_of(self.call), takes_self=True
    )

    def note_send(self) -> None:
        """Count an attempt that begins now."""
        self.sends += 1
        if self.reservation is not None:
            self.reservation.record_sent()
        self.waited_s = self.since_arrival_s

    def note_result(self, result: Result) -> None:
        """Count what an attempt gave."""
        self.last = result
        if isinstance(result, NeverRan | NotSent):
            if isinstance(result, NotSent) and result.by is BrokenBy.WITHHELD:
                # Nothing arrived anywhere, so the next send repeats none.
                self.sends -= 1
            else:
                self.refusals += 1
            if self.reservation is not None:
                self.reservation.record_not_run()
        elif not isinstance(result, Delivered):
            self.runs += 1

    def progress(self) -> Progress:
        """Return what decides how the call ends."""
        return Progress(self.route, self.runs, self.last, self.left_s, self.answer.started)

    @property
    def priority(self) -> int:
        """Return the call's rank; 0 is the most urgent.

        The one of its organisation goes before that of its route.
        """
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def returned(self) -> bool:
        """Return whether the caller was likely refused before and has come back."""
        return has_returned(self.route, self.call.budget_s)

    @property
    def since_arrival_s(self) -> float:
        """Return the time since the call arrived, in seconds."""
        return boottime_s() - self.call.arrived_s

    @property
    def left_s(self) -> float:
        """Return the time that is left for the call, in seconds."""
        return self.ends_s - boottime_s()

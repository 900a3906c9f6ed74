"""How far a call has come, and the replica chosen for its next attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.gateway.events import EventSplitter
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.call import Call
    from limeshelf.calls.routes import Route, ServiceSpec
    from limeshelf.dispatch.grants import Grant
    from limeshelf.gateway.exchange import Result
    from limeshelf.replicas.replica import Replica

#: A caller that has less than this share of the usual time was here before.
RETURNED_SHARE = 0.97


@attrs.define
class CallState:
    """How far a call has come.

    :ivar runs: replicas that run it or may have run it.
    :ivar refusals: replicas that said they did not run it.
    :ivar waited_s: time from its arrival to the latest send.
    """

    call: Call
    route: Route
    service: ServiceSpec
    ends_s: float
    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    runs: int = 0
    sends: int = 0
    refusals: int = 0
    excluded: set[str] = attrs.field(factory=set)
    last: Result | None = None
    waited_s: float = 0.0

    @property
    def returned(self) -> bool:
        """Return whether the caller has likely been refused before."""
        budget_s = self.call.budget_s
        return budget_s is not None and budget_s < RETURNED_SHARE * self.route.timeout_s

    @property
    def left_s(self) -> float:
        """Return the time that is left for the call, in seconds."""
        return self.ends_s - boottime_s()


@attrs.frozen
class Choice:
    """The replica for an attempt, with the dispatcher's grant if it gave one."""

    replica: Replica
    place: Grant | None

    def note_first(self) -> None:
        """Say that the first event is there."""
        if self.place is not None:
            self.place.read()

    def note_end(self) -> None:
        """Say that the attempt is over."""
        if self.place is not None:
            self.place.ended()

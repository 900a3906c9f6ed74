"""What the outcome that another gateway states means for the call that was forwarded."""

from __future__ import annotations

from typing import Any

from limeshelf.errors import NotRun, OutcomeKind, RefusalReason
from limeshelf.forwarding.messages import ForwardedCall, ForwardOutcome
from limeshelf.forwarding.wire import ForwardWire
from limeshelf.gateway.forwarder import _result_of
from limeshelf.gateway.results import (
    Broken,
    FailedElsewhere,
    FailureCause,
    NeverRan,
    NotCarried,
)

FOREIGN = Broken(FailureCause.FOREIGN_ANSWER, 503, 'another')


def wire_with(kind: OutcomeKind) -> ForwardWire:
    """Return the wire of a call after the head of an answer with an outcome has arrived."""
    unused: Any = None
    outcome = ForwardOutcome(kind, RefusalReason.OVERLOADED)
    return ForwardWire(unused, ForwardedCall('lm', None, 0, None, 0, []), outcome)


def test_refusal_of_another_call_says_nothing_of_a_forwarded_one() -> None:
    # A call that may have run was taken for one that had not.
    assert _result_of(FOREIGN, wire_with(OutcomeKind.NOT_RUN)) == FOREIGN


def test_outcome_of_the_call_itself_counts() -> None:
    refused = _result_of(NeverRan(True, status=503), wire_with(OutcomeKind.NOT_RUN))
    assert refused == NotCarried(NotRun(RefusalReason.OVERLOADED), is_final=True)
    assert _result_of(FOREIGN, wire_with(OutcomeKind.MAY_HAVE_RUN)) == FailedElsewhere()

"""Whether a model request is sent at all: the policy first, then the bound of streams.

Owns no state. Relies on the admission policy that is bound to the deployment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.errors import NotRun, RefusalReason

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limeshelf.standalone.admission.policies import (
        AdmissionOutcome,
        AdmissionPolicy,
        AdmissionQuestion,
    )


def decide_admission(
    policy: AdmissionPolicy, question: AdmissionQuestion, own_streams: Sequence[int]
) -> AdmissionOutcome:
    """Return whether the request goes on, or its final outcome.

    The bound of streams holds whatever the policy says: it keeps one instance from
    filling every replica of a model.

    :param own_streams: requests of this instance in flight at each candidate.
    """
    outcome = policy.decide(question)
    if isinstance(outcome, NotRun):
        return outcome
    if all(streams >= question.limit for streams in own_streams):
        return NotRun(RefusalReason.OVERLOADED, question.estimate_s, 'too many in flight')
    return outcome

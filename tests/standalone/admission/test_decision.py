"""Admission of a model request: the policy first, then the bound of streams."""

from __future__ import annotations

from limeshelf.errors import NotRun, RefusalReason
from limeshelf.standalone.admission.decision import decide_admission
from limeshelf.standalone.admission.policies import (
    AdmissionQuestion,
    AdmitAll,
    AdmitByEstimate,
    Admitted,
)
from limeshelf.standalone.config.document import PriorityClass

LIMIT = 4


def question(estimate_s: float) -> AdmissionQuestion:
    return AdmissionQuestion(PriorityClass.NORMAL, estimate_s, 1.0, 10.0, 0.0, LIMIT)


def test_one_replica_below_the_bound_is_enough() -> None:
    assert isinstance(decide_admission(AdmitAll(), question(0.3), [LIMIT, LIMIT - 1]), Admitted)


def test_bound_of_streams_holds_under_every_policy() -> None:
    outcome = decide_admission(AdmitAll(), question(0.3), [LIMIT, LIMIT + 1])
    assert outcome == NotRun(RefusalReason.OVERLOADED, 0.3, 'too many in flight')


def test_refusal_of_the_policy_goes_first() -> None:
    policy = AdmitByEstimate({PriorityClass.NORMAL: 1.0})
    outcome = decide_admission(policy, question(11.0), [LIMIT])
    assert isinstance(outcome, NotRun)
    assert outcome.reason is RefusalReason.DEADLINE_TOO_SHORT

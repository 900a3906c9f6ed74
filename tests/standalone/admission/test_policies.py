"""Admission and priority policies on questions made by hand."""

from __future__ import annotations

from limeshelf.errors import NotRun, RefusalReason
from limeshelf.standalone.admission.policies import AdmissionQuestion, Admitted, admission_policies
from limeshelf.standalone.admission.priorities import priority_policies
from limeshelf.standalone.config.document import PriorityClass
from limeshelf.util.clock import virtual_clock
from tests.support.policies import policy_of


def question(priority_class: PriorityClass, estimate_s: float, running: float = 0.0):
    return AdmissionQuestion(priority_class, estimate_s, 1.0, 10.0, running, 10)


def test_lowest_class_is_refused_first() -> None:
    policy = policy_of(admission_policies, 'estimate')
    low = policy.decide(question(PriorityClass.LOW, 0.8))
    assert isinstance(low, NotRun)
    assert low.reason is RefusalReason.OVERLOADED
    assert low.retry_after_s is not None
    for kept in (PriorityClass.NORMAL, PriorityClass.HIGH):
        assert isinstance(policy.decide(question(kept, 0.8)), Admitted)


def test_what_cannot_meet_its_deadline_is_refused() -> None:
    outcome = policy_of(admission_policies, 'estimate').decide(question(PriorityClass.HIGH, 11.0))
    assert isinstance(outcome, NotRun)
    assert outcome.reason is RefusalReason.DEADLINE_TOO_SHORT


def test_cap_falls_on_a_high_miss_and_rises_slowly() -> None:
    with virtual_clock() as clock:
        policy = policy_of(admission_policies, 'low-class-cap', least_ratio=0.5, raise_ratio=0.1)
        busy = question(PriorityClass.LOW, 0.1, running=7.0)
        assert isinstance(policy.decide(busy), NotRun)
        clock.advance(3.0)
        assert isinstance(policy.decide(busy), Admitted)
        policy.note_result(PriorityClass.HIGH, False)
        assert isinstance(policy.decide(busy), NotRun)
        high = question(PriorityClass.HIGH, 0.1, running=9.0)
        assert isinstance(policy.decide(high), Admitted)


def test_class_is_never_overtaken() -> None:
    policy = policy_of(priority_policies, 'deadline-first')
    assert policy.rank(PriorityClass.HIGH, 9999.0) < policy.rank(PriorityClass.NORMAL, 0.0)
    assert policy.rank(PriorityClass.LOW, 5.0) < policy.rank(PriorityClass.LOW, 50.0)

"""Routing and admission policies on candidates made by hand."""

from __future__ import annotations

import pytest

from limeshelf.errors import NotRun, RefusalReason, UnknownName
from limeshelf.registry import Registry
from limeshelf.standalone.admission.policies import AdmissionQuestion, Admitted, admission_policies
from limeshelf.standalone.admission.priorities import priority_policies
from limeshelf.standalone.config.document import NumberParameter, Policy, PolicyKind, PriorityClass
from limeshelf.standalone.membership.upstreams import Upstream
from limeshelf.standalone.routing.candidates import Candidate
from limeshelf.standalone.routing.policies import RouteQuestion, routing_policies
from limeshelf.standalone.services.instances import Listed, ListedKind
from limeshelf.util.clock import virtual_clock


def candidate(name: str, running: float = 0.0, estimate_s: float = 0.0) -> Candidate:
    return Candidate(Upstream(Listed(name, ListedKind.ENGINE, 'x')), 'm@1', running, estimate_s)


def made(registry: Registry, name: str, **numbers: float):
    parameters = [NumberParameter(key, value) for key, value in numbers.items()]
    policy = Policy(name, PolicyKind.ROUTING, name, parameters)
    return registry.get(name).from_config(policy)


def question(priority_class: PriorityClass, estimate_s: float, running: float = 0.0):
    return AdmissionQuestion(priority_class, estimate_s, 1.0, 10.0, running, 10)


@pytest.mark.parametrize('name', routing_policies.names())
def test_every_policy_chooses_one_of_the_candidates(name: str) -> None:
    candidates = [candidate('u0', 3.0, 0.3), candidate('u1', 1.0, 0.1)]
    chosen = made(routing_policies, name).choose(RouteQuestion('m@1', 'p'), candidates)
    assert chosen in candidates


def test_estimate_and_connections_take_the_least() -> None:
    candidates = [candidate('u0', 1.0, 0.3), candidate('u1', 3.0, 0.1)]
    asked = RouteQuestion('m@1', 'p')
    least = made(routing_policies, 'least-connections').choose(asked, candidates)
    quickest = made(routing_policies, 'first-token-estimate').choose(asked, candidates)
    assert (least.upstream_id, quickest.upstream_id) == ('u0', 'u1')


def test_prefix_stays_where_it_is_up_to_the_bound() -> None:
    policy = made(routing_policies, 'prefix-affinity', bound_ratio=0.25)
    idle = [candidate(f'u{n}') for n in range(4)]
    home = policy.choose(RouteQuestion('m@1', 'p'), idle).upstream_id
    assert policy.choose(RouteQuestion('m@1', 'p'), idle[::-1]).upstream_id == home
    busy = [candidate(c.upstream_id, 20.0 if c.upstream_id == home else 1.0) for c in idle]
    assert policy.choose(RouteQuestion('m@1', 'p'), busy).upstream_id != home


def test_lowest_class_is_refused_first() -> None:
    policy = made(admission_policies, 'estimate')
    low = policy.decide(question(PriorityClass.LOW, 0.8))
    assert isinstance(low, NotRun)
    assert low.reason is RefusalReason.OVERLOADED
    assert low.retry_after_s is not None
    for kept in (PriorityClass.NORMAL, PriorityClass.HIGH):
        assert isinstance(policy.decide(question(kept, 0.8)), Admitted)


def test_what_cannot_meet_its_deadline_is_refused() -> None:
    outcome = made(admission_policies, 'estimate').decide(question(PriorityClass.HIGH, 11.0))
    assert isinstance(outcome, NotRun)
    assert outcome.reason is RefusalReason.DEADLINE_TOO_SHORT


def test_cap_falls_on_a_high_miss_and_rises_slowly() -> None:
    with virtual_clock() as clock:
        policy = made(admission_policies, 'low-class-cap', least_ratio=0.5, raise_ratio=0.1)
        busy = question(PriorityClass.LOW, 0.1, running=7.0)
        assert isinstance(policy.decide(busy), NotRun)
        clock.advance(3.0)
        assert isinstance(policy.decide(busy), Admitted)
        policy.note_result(PriorityClass.HIGH, False)
        assert isinstance(policy.decide(busy), NotRun)
        high = question(PriorityClass.HIGH, 0.1, running=9.0)
        assert isinstance(policy.decide(high), Admitted)


def test_class_is_never_overtaken() -> None:
    policy = made(priority_policies, 'deadline-first')
    assert policy.rank(PriorityClass.HIGH, 9999.0) < policy.rank(PriorityClass.NORMAL, 0.0)
    assert policy.rank(PriorityClass.LOW, 5.0) < policy.rank(PriorityClass.LOW, 50.0)


def test_unknown_name_says_what_is_known() -> None:
    with pytest.raises(UnknownName) as caught:
        routing_policies.get('nearest')
    assert 'round-robin' in caught.value.known

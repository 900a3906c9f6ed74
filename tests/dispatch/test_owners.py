"""Selection of the owner that a call queries."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import pytest

from limeshelf.calls.call import ModelNeed
from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.fallback import Fallback
from limeshelf.dispatch.grants import GrantRequest
from limeshelf.dispatch.owners import OwnerSelector
from limeshelf.membership.member import LOCAL
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord

NOW_S = 50.0


def request(*excluded: str) -> GrantRequest:
    need = ModelNeed('m', '', 100, 50, 20, ())
    return GrantRequest(ModelKey('lm', 'm'), need, 1, 0.5, 1.0, 0.3, frozenset(excluded), False)


def selector_of(
    *data_centres: str,
    owner_of: Callable[[str], str | None] = lambda data_centre: f'owner-{data_centre}',
    calls: tuple[int, ...] = (),
) -> OwnerSelector:
    """Return the selector of a gateway in z1; replicas r0, r1, ... hold the model."""
    directory = ReplicaDirectory(read_record)
    for number, data_centre in enumerate(data_centres):
        record = ReplicaRecord(
            f'r{number}', 'lm', f'ip:{number}', data_centre, 4, False, None, (Holding('m'),), 1
        )
        directory.apply_record(record)
    for number, running in enumerate(calls):
        replica = directory.get(f'r{number}')
        assert replica is not None
        replica.own_load.calls = running
    return OwnerSelector(directory, Fallback(), owner_of, 'z1')


def chosen(selector: OwnerSelector, current: str | None = None) -> str:
    return selector.choose(selector.candidates(request(), NOW_S), current).address


def test_replicas_of_one_owner_form_one_target() -> None:
    selector = selector_of('z1', 'z2', 'z1')
    candidates = selector.candidates(request('r1'), NOW_S)
    assert [(target.address, len(target.replicas)) for target in candidates] == [('owner-z1', 2)]


def test_less_loaded_of_local_owner_and_another_is_chosen() -> None:
    assert chosen(selector_of('z1', 'z2')) == 'owner-z1'
    assert chosen(selector_of('z1', 'z2', calls=(3, 1))) == 'owner-z2'


def test_owners_are_compared_by_their_least_loaded_replica() -> None:
    assert chosen(selector_of('z1', 'z1', 'z2', calls=(4, 0, 1))) == 'owner-z1'


def test_current_owner_is_kept() -> None:
    assert chosen(selector_of('z1', 'z2', calls=(3, 1)), current='owner-z1') == 'owner-z1'


def test_same_loads_do_not_send_all_queries_to_one_owner() -> None:
    random.seed(1)
    selector = selector_of('z2', 'z3', 'z4', 'z5', calls=(1, 1, 1, 2))
    asked = Counter(chosen(selector) for _ in range(600))
    assert set(asked) == {'owner-z2', 'owner-z3', 'owner-z4'}
    assert max(asked.values()) < 300


@pytest.mark.parametrize('unresponsive', [True, False])
def test_owner_is_not_replaced_while_another_can_grant(unresponsive: bool) -> None:
    owners = {'z1': 'owner-z1' if unresponsive else None, 'z2': 'owner-z2'}
    selector = selector_of('z1', 'z2', owner_of=owners.__getitem__, calls=(0, 3))
    if unresponsive:
        selector.fallback.record_timeout('owner-z1', NOW_S)
    assert chosen(selector) == 'owner-z2'
    selector.fallback.record_timeout('owner-z2', NOW_S)
    candidates = selector.candidates(request(), NOW_S)
    assert [(target.address, target.is_owner) for target in candidates] == [(LOCAL, False)]
    assert {replica.replica_id for replica in candidates[0].replicas} == {'r0', 'r1'}

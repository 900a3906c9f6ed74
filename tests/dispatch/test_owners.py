"""Which owner a call asks."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import pytest

from limeshelf.calls.call import ModelNeed
from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.fallback import Fallback
from limeshelf.dispatch.grants import GrantRequest
from limeshelf.dispatch.owners import OwnerChooser
from limeshelf.membership.member import LOCAL
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord

NOW_S = 50.0


def request(*excluded: str) -> GrantRequest:
    need = ModelNeed('m', '', 100, 50, 20, ())
    return GrantRequest(ModelKey('lm', 'm'), need, 1, 0.5, 1.0, 0.3, frozenset(excluded), False)


def chooser_of(
    *data_centres: str,
    owner_of: Callable[[str], str | None] = lambda data_centre: f'owner-{data_centre}',
    calls: tuple[int, ...] = (),
) -> OwnerChooser:
    """Return the chooser of a gateway in z1; replicas r0, r1 and so on hold the model."""
    directory = ReplicaDirectory(read_record)
    for number, data_centre in enumerate(data_centres):
        record = ReplicaRecord(
            f'r{number}', 'lm', f'ip:{number}', data_centre, 4, False, None, (Holding('m'),), 1
        )
        directory.take_record(record)
    for number, running in enumerate(calls):
        replica = directory.get(f'r{number}')
        assert replica is not None
        replica.own.calls = running
    return OwnerChooser(directory, Fallback(), owner_of, 'z1')


def chosen(chooser: OwnerChooser, current: str | None = None) -> str:
    return chooser.choose(chooser.candidates(request(), NOW_S), current).address


def test_replicas_of_one_owner_make_one_candidate() -> None:
    chooser = chooser_of('z1', 'z2', 'z1')
    candidates = chooser.candidates(request('r1'), NOW_S)
    assert [(one.address, len(one.replicas)) for one in candidates] == [('owner-z1', 2)]


def test_less_loaded_of_the_near_owner_and_another_is_asked() -> None:
    assert chosen(chooser_of('z1', 'z2')) == 'owner-z1'
    assert chosen(chooser_of('z1', 'z2', calls=(3, 1))) == 'owner-z2'


def test_owner_whose_best_replica_is_free_is_asked_though_others_are_busy() -> None:
    assert chosen(chooser_of('z1', 'z1', 'z2', calls=(4, 0, 1))) == 'owner-z1'


def test_who_was_asked_stays_so() -> None:
    assert chosen(chooser_of('z1', 'z2', calls=(3, 1)), current='owner-z1') == 'owner-z1'


def test_gateways_that_see_the_same_do_not_all_ask_one_owner() -> None:
    random.seed(1)
    chooser = chooser_of('z2', 'z3', 'z4', 'z5', calls=(1, 1, 1, 2))
    asked = Counter(chosen(chooser) for _ in range(600))
    assert set(asked) == {'owner-z2', 'owner-z3', 'owner-z4'}
    assert max(asked.values()) < 300


@pytest.mark.parametrize('silent', [True, False])
def test_nobody_stands_in_for_an_owner_while_another_can_grant(silent: bool) -> None:
    owners = {'z1': 'owner-z1' if silent else None, 'z2': 'owner-z2'}
    chooser = chooser_of('z1', 'z2', owner_of=owners.__getitem__, calls=(0, 3))
    if silent:
        chooser.fallback.note_silence('owner-z1', NOW_S)
    assert chosen(chooser) == 'owner-z2'
    chooser.fallback.note_silence('owner-z2', NOW_S)
    candidates = chooser.candidates(request(), NOW_S)
    assert [(one.address, one.is_owner) for one in candidates] == [(LOCAL, False)]
    assert {replica.replica_id for replica in candidates[0].replicas} == {'r0', 'r1'}

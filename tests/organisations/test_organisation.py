"""Lookup of organisations by key digest, and the cost of a call."""

from __future__ import annotations

import pytest

from limeshelf.organisations.organisation import (
    Organisation,
    Organisations,
    UsageLimit,
    digest_of,
)


def test_key_identifies_its_organisation() -> None:
    one, other = Organisation('one'), Organisation('other')
    keys = [digest_of(f'k-{number}') for number in range(3)]
    organisations = Organisations([(one, keys[:2]), (other, keys[2:])])
    assert [organisations.holder_of(key) for key in keys] == [one, one, other]
    assert organisations.holder_of(digest_of('k-9')) is None
    assert organisations.holder_of(None) is None


def test_keys_may_contain_undecodable_bytes() -> None:
    assert digest_of('\udcff') != digest_of('\udcfe')


@pytest.mark.parametrize(
    ('in_tokens', 'tokens', 'cost'),
    [(True, 1500, 1500), (True, None, 200), (False, 1500, 1), (False, None, 1)],
)
def test_cost_of_a_call(in_tokens: bool, tokens: int | None, cost: int) -> None:
    limit = UsageLimit(10.0, 5.0, in_tokens=in_tokens, plain_call_tokens=200)
    assert limit.cost_of(tokens) == cost

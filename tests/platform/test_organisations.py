"""Reading organisations from the operator's configuration, and the faults of invalid entries."""

from __future__ import annotations

import json
from typing import Any

import pytest

from limeshelf.errors import InvalidDocument
from limeshelf.organisations.organisation import Organisations, UsageLimit, digest_of
from limeshelf.platform.configuration import read_config

ENTRY = {
    'Name': 'acme',
    'Keys': ['k-1', 'k-2'],
    'Priority': 1,
    'Unit': 'tokens',
    'UncachedTokens': 200,
    'RatePerS': 2700,
    'Burst': 1800,
}


def read(*entries: dict[str, Any]) -> Organisations | None:
    document = {'Version': 3, 'Routes': [], 'Services': [], 'Tenants': list(entries)}
    return read_config(json.dumps(document).encode()).organisations


def test_entry_is_read() -> None:
    organisations = read(ENTRY)
    assert organisations is not None
    holder = organisations.holder_of(digest_of('k-2'))
    assert holder is not None
    assert (holder.name, holder.priority) == ('acme', 1)
    assert holder.limit == UsageLimit(2700.0, 1800.0, in_tokens=True, plain_call_tokens=200)


def test_missing_or_zero_rate_means_no_limit() -> None:
    organisations = read({'Name': 'a', 'Keys': ['x']}, {**ENTRY, 'RatePerS': 0})
    assert organisations is not None
    for key in ('x', 'k-1'):
        holder = organisations.holder_of(digest_of(key))
        assert holder is not None
        assert holder.limit is None


def test_limit_in_another_unit_counts_calls() -> None:
    organisations = read({**ENTRY, 'Unit': 'requests'})
    assert organisations is not None
    holder = organisations.holder_of(digest_of('k-1'))
    assert holder is not None and holder.limit is not None
    assert holder.limit.cost_of(5000) == 1


def test_configuration_without_organisations_requires_no_keys() -> None:
    value = json.dumps({'Version': 3, 'Routes': [], 'Services': []}).encode()
    assert read_config(value).organisations is None


@pytest.mark.parametrize(
    ('entries', 'path'),
    [
        ([{**ENTRY, 'RatePerS': -1}], 'Tenants.0.RatePerS'),
        ([ENTRY, {**ENTRY, 'Keys': ['x']}], 'Tenants.1.Name'),
        ([ENTRY, {**ENTRY, 'Name': 'b'}], 'Tenants.1.Keys.0'),
        ([{**ENTRY, 'Name': 'a\r\nb'}], 'Tenants.0.Name'),
        ([{**ENTRY, 'Name': ' '}], 'Tenants.0.Name'),
        ([{**ENTRY, 'Keys': [7]}], 'Tenants[0].Keys'),
        ([{'Keys': ['k-1']}], 'Tenants[0]'),
    ],
)
def test_fault_names_its_path_but_no_key(entries: list[dict[str, Any]], path: str) -> None:
    with pytest.raises(InvalidDocument) as caught:
        read(*entries)
    text = str(caught.value)
    assert path in text
    assert 'k-1' not in text

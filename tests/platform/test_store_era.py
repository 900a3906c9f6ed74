"""The era of the store in the headers of its responses."""

from __future__ import annotations

import pytest

from limeshelf.platform.store_era import StoreEra, read_era


@pytest.mark.parametrize(
    ('header', 'era'),
    [
        ('0', 0),
        ('3', 3),
        (None, None),
        ('', None),
        ('-1', None),
        ('1.5', None),
        ('two', None),
        ('\u0663', None),
        ('9999999', None),
    ],
)
def test_era_is_a_count(header: str | None, era: int | None) -> None:
    assert read_era(header) == era


def test_later_era_is_reported_once_and_an_earlier_one_is_ignored() -> None:
    reported: list[int] = []
    era = StoreEra(reported.append)
    assert [era.observe(text) for text in ('1', '1', '4', '2', None, 'two')] == [1, 1, 4, 2, 4, 4]
    assert reported == [1, 4]
    assert era.is_superseded(3)
    assert not era.is_superseded(4)


def test_store_without_an_era_header_is_in_era_0() -> None:
    reported: list[int] = []
    era = StoreEra(reported.append)
    assert era.observe(None) == 0
    assert not era.is_superseded(0)
    # A store that reports its first era only after a restore has advanced from era 0.
    assert era.observe('1') == 1
    assert reported == [0, 1]
    assert era.is_superseded(0)

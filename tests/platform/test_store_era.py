"""The era of the store in the heads of its answers."""

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


def test_later_era_is_told_once_and_an_earlier_one_leads_nowhere() -> None:
    told: list[int] = []
    era = StoreEra(told.append)
    assert [era.note(header) for header in ('1', '1', '4', '2', None, 'two')] == [1, 1, 4, 2, 4, 4]
    assert told == [1, 4]
    assert era.is_over(3)
    assert not era.is_over(4)


def test_store_that_states_no_era_is_in_the_first_one() -> None:
    told: list[int] = []
    era = StoreEra(told.append)
    assert era.note(None) == 0
    assert not era.is_over(0)
    # One that states its era only once it has come back has come back.
    assert era.note('1') == 1
    assert told == [0, 1]
    assert era.is_over(0)

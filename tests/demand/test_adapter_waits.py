"""How long a missing adapter is expected to take."""

from __future__ import annotations

import pytest

from limeshelf.demand.adapter_waits import FIRST_GUESS_S, AdapterWaits
from limeshelf.demand.keys import ModelKey

KEY = ModelKey('lm', 'm1', 'a1')
OTHER = ModelKey('lm', 'm2', 'a7')


def see(waits: AdapterWaits, key: ModelKey, begin_s: float, took_s: float) -> None:
    """Miss *key* each 50 ms, as a waiting call does, until it is found."""
    for step in range(int(took_s / 0.05) + 1):
        waits.wait_s(key, begin_s + 0.05 * step)
    waits.note_found(key, begin_s + took_s)


def test_guess_shrinks_while_the_adapter_is_awaited() -> None:
    waits = AdapterWaits()
    assert waits.wait_s(KEY, 10.0) == FIRST_GUESS_S
    assert waits.wait_s(KEY, 10.05) == pytest.approx(FIRST_GUESS_S - 0.05)
    assert waits.wait_s(KEY, 10.2) == pytest.approx(FIRST_GUESS_S / 2)


def test_first_wait_is_believed_and_later_ones_move_the_estimate() -> None:
    waits = AdapterWaits()
    see(waits, KEY, 10.0, 0.1)
    assert waits.wait_s(OTHER, 20.0) == pytest.approx(0.1)
    see(waits, KEY, 30.0, 0.6)
    assert waits.wait_s(OTHER, 40.0) == pytest.approx(0.2)


def test_services_are_estimated_apart() -> None:
    waits = AdapterWaits()
    see(waits, KEY, 10.0, 0.1)
    assert waits.wait_s(ModelKey('other', 'm1', 'a1'), 20.0) == FIRST_GUESS_S


def test_adapter_that_nobody_saw_come_teaches_nothing() -> None:
    waits = AdapterWaits()
    waits.wait_s(KEY, 10.0)
    waits.note_found(KEY, 14.0)
    waits.note_found(OTHER, 14.0)
    assert waits.wait_s(KEY, 20.0) == FIRST_GUESS_S
    # A pause without calls begins the wait anew.
    assert waits.wait_s(KEY, 25.0) == FIRST_GUESS_S

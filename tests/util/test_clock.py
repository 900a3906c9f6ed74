"""The virtual clock of tests and experiments."""

from __future__ import annotations

from limeshelf.util.clock import boottime_s, virtual_clock, wall_s


def test_virtual_clock_replaces_and_restores_both_clocks() -> None:
    before_s = boottime_s()
    with virtual_clock() as clock:
        boot_s, wall_clock_s = boottime_s(), wall_s()
        clock.advance(7.5)
        assert boottime_s() - boot_s == 7.5
        assert wall_s() - wall_clock_s == 7.5
    assert before_s <= boottime_s() < before_s + 60.0

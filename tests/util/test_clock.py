"""The clock that tests and experiments move by hand."""

from __future__ import annotations

from limeshelf.util.clock import boottime_s, virtual_clock, wall_s


def test_virtual_clock_replaces_both_and_gives_them_back() -> None:
    before_s = boottime_s()
    with virtual_clock() as clock:
        steady_s, people_s = boottime_s(), wall_s()
        clock.advance(7.5)
        assert boottime_s() - steady_s == 7.5
        assert wall_s() - people_s == 7.5
    assert before_s <= boottime_s() < before_s + 60.0

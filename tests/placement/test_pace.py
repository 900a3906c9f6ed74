"""How many loads begin in any window."""

from __future__ import annotations

from limeshelf.placement.pace import LoadPace
from limeshelf.util.clock import virtual_clock


def test_loads_keep_the_rate_also_across_a_change_of_leader() -> None:
    with virtual_clock() as clock:
        begun: list[float] = []
        for _ in range(3):
            pace = LoadPace(5.0)
            pace.reset(1.4)
            for _ in range(40):
                if pace.allows(1.4):
                    pace.note()
                    begun.append(clock.now_s)
                clock.advance(0.1)
        for start in begun:
            window = [at for at in begun if start <= at < start + 5.0]
            assert len(window) <= 1.4 * 5.0 * 1.1 + 3

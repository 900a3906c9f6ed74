"""How many loads from the weight store start in any window."""

from __future__ import annotations

from limeshelf.placement.store_load_limiter import StoreLoadLimiter
from limeshelf.util.clock import virtual_clock


def test_loads_keep_the_rate_across_changes_of_leader() -> None:
    with virtual_clock() as clock:
        begun: list[float] = []
        for _ in range(3):
            limiter = StoreLoadLimiter(5.0)
            limiter.reset(1.4)
            for _ in range(40):
                if limiter.may_load(1.4):
                    limiter.record_load()
                    begun.append(clock.now_s)
                clock.advance(0.1)
        for start in begun:
            window = [at for at in begun if start <= at < start + 5.0]
            assert len(window) <= 1.4 * 5.0 * 1.1 + 3


def test_new_leader_may_start_few_loads_at_once() -> None:
    with virtual_clock():
        limiter = StoreLoadLimiter(5.0)
        limiter.reset(1.4)
        begun = 0
        while limiter.may_load(1.4):
            limiter.record_load()
            begun += 1
        # Seven loads fill the window. Six of them count as started, and 1.5 more are allowed as a
        # burst.
        assert begun == 2

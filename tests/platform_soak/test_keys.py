"""From when on a key that was taken away may open nothing."""

from __future__ import annotations

import asyncio

from tests.platform_soak.keys import REVOKE_S, Key, Keys
from tests.platform_soak.world import KNOWN_S
from tests.support.clock import run_virtual


def taken(keys: Keys) -> Key:
    """Take the oldest keys away and return one of them."""
    for _ in range(3):
        keys.change()
    key = keys.get('secret-acme-0001')
    assert key is not None and key.taken_s is not None
    return key


def test_key_counts_as_taken_from_the_confirmation_on() -> None:
    async def play() -> None:
        keys, now_s = Keys(), asyncio.get_running_loop().time()
        key = taken(keys)
        assert not key.is_revoked(now_s + 10 * REVOKE_S)
        await asyncio.sleep(1.0)
        keys.confirm()
        assert not key.is_revoked(now_s + REVOKE_S + 1.0)
        assert key.is_revoked(now_s + REVOKE_S + 1.1)

    run_virtual(play())


def test_loss_before_all_knew_makes_the_key_count_anew_and_a_later_one_does_not() -> None:
    async def play() -> None:
        for lost_after_s, begins_anew in [(0.5 * KNOWN_S, True), (1.5 * KNOWN_S, False)]:
            keys = Keys()
            key = taken(keys)
            keys.confirm()
            confirmed_s = asyncio.get_running_loop().time()
            await asyncio.sleep(lost_after_s)
            keys.doubt(KNOWN_S)
            keys.confirm()
            assert key.is_revoked(confirmed_s + REVOKE_S + 0.1) is not begins_anew

    run_virtual(play())

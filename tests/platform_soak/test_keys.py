"""Tests of the time from which a revoked key must be rejected."""

from __future__ import annotations

import asyncio

from tests.platform_soak.keys import REVOCATION_LIMIT_S, Key, Keys
from tests.platform_soak.world import PROPAGATION_LIMIT_S
from tests.support.clock import run_virtual


def revoke_oldest(keys: Keys) -> Key:
    """Revoke the oldest keys and return one of them."""
    for _ in range(3):
        keys.change()
    key = keys.get('secret-acme-0001')
    assert key is not None and key.revoked_s is not None
    return key


def test_key_counts_as_revoked_from_the_confirmation_on() -> None:
    async def scenario() -> None:
        keys, now_s = Keys(), asyncio.get_running_loop().time()
        key = revoke_oldest(keys)
        assert not key.is_revoked(now_s + 10 * REVOCATION_LIMIT_S)
        await asyncio.sleep(1.0)
        keys.confirm()
        assert not key.is_revoked(now_s + REVOCATION_LIMIT_S + 1.0)
        assert key.is_revoked(now_s + REVOCATION_LIMIT_S + 1.1)

    run_virtual(scenario())


def test_only_a_loss_before_propagation_restarts_the_revocation() -> None:
    async def scenario() -> None:
        for lost_after_s, restarts in [
            (0.5 * PROPAGATION_LIMIT_S, True),
            (1.5 * PROPAGATION_LIMIT_S, False),
        ]:
            keys = Keys()
            key = revoke_oldest(keys)
            keys.confirm()
            confirmed_s = asyncio.get_running_loop().time()
            await asyncio.sleep(lost_after_s)
            keys.unconfirm_recent(PROPAGATION_LIMIT_S)
            keys.confirm()
            assert key.is_revoked(confirmed_s + REVOCATION_LIMIT_S + 0.1) is not restarts

    run_virtual(scenario())

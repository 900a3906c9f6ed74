"""Organisations of the soak: API keys that are issued and revoked, and a rate limit."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import attrs

#: A revoked key must be rejected by all gateways after this time, in seconds.
REVOCATION_LIMIT_S = 4.0
LIMIT_WINDOW_S = 3.0
#: Rate limit and burst of the limited organisation, in calls over all gateways.
LIMIT_PER_S = 6.0
LIMIT_BURST = 6.0
LIMITED_ORGANISATION = 'limited'
ORGANISATIONS = ('acme', 'other', LIMITED_ORGANISATION)
#: Share of calls with a revoked key or one that never existed.
INVALID_KEY_SHARE = 0.1


@attrs.define
class Key:
    """An API key and its organisation.

    :ivar revoked_s: when the key was revoked, on the loop's clock; ``None`` if it is valid.
    :ivar is_confirmed: whether the store has confirmed the revocation, and did not lose it
        before it reached all gateways.
    """

    text: str
    organisation: str
    revoked_s: float | None = None
    is_confirmed: bool = False

    def is_revoked(self, at_s: float) -> bool:
        """Return whether every gateway must reject the key by now."""
        return (
            self.revoked_s is not None
            and self.is_confirmed
            and at_s > self.revoked_s + REVOCATION_LIMIT_S
        )


class Keys:
    """All keys that were ever issued."""

    def __init__(self) -> None:
        self._by_text: dict[str, Key] = {}
        self._number = 0
        # Separate, so that drawing keys does not change the seeded sequence of faults.
        self._random = random.Random(1)

    def change(self) -> list[dict[str, Any]]:
        """Rotate each organisation's keys; return the organisations' configuration entries.

        The oldest key is revoked unless it is the only one.
        """
        now_s = asyncio.get_running_loop().time()
        entries = []
        for name in ORGANISATIONS:
            valid = self._valid_keys(name)
            if len(valid) > 1:
                valid.pop(0).revoked_s = now_s
            self._number += 1
            key = Key(f'secret-{name}-{self._number:04d}', name)
            self._by_text[key.text] = key
            valid.append(key)
            entry: dict[str, Any] = {'Name': name, 'Keys': [one.text for one in valid]}
            if name == LIMITED_ORGANISATION:
                entry |= {'RatePerS': LIMIT_PER_S, 'Burst': LIMIT_BURST}
            entries.append(entry)
        return entries

    def confirm(self) -> None:
        """Confirm pending revocations, which count from now on."""
        for key in self._by_text.values():
            if key.revoked_s is not None and not key.is_confirmed:
                key.revoked_s = asyncio.get_running_loop().time()
                key.is_confirmed = True

    def unconfirm_recent(self, propagation_s: float) -> None:
        """Mark recent revocations, which the store may have lost, as unconfirmed.

        :param propagation_s: age up to which a revocation counts as recent.
        """
        now_s = asyncio.get_running_loop().time()
        for key in self._by_text.values():
            if key.revoked_s is not None and key.revoked_s > now_s - propagation_s:
                key.is_confirmed = False

    def _valid_keys(self, name: str) -> list[Key]:
        return [
            key
            for key in self._by_text.values()
            if key.organisation == name and key.revoked_s is None
        ]

    def choose(self) -> str:
        """Return a key for a call, at times an invalid one."""
        if self._random.random() < INVALID_KEY_SHARE:
            revoked = [key.text for key in self._by_text.values() if key.revoked_s is not None]
            return self._random.choice([*revoked, 'secret-of-nobody'])
        # The newest key may not have reached all gateways yet.
        return self._valid_keys(self._random.choice(ORGANISATIONS))[0].text

    def newest(self) -> str:
        """Return the newest key of an organisation without a rate limit."""
        return self._valid_keys(ORGANISATIONS[0])[-1].text

    def get(self, text: str) -> Key | None:
        """Return a key, or ``None`` if it never existed."""
        return self._by_text.get(text)

    def all(self) -> list[str]:
        """Return the text of all keys, including one that never existed."""
        return [*self._by_text, 'secret-of-nobody']

"""Organisations of the soak: keys that are given and taken away, and one with a limit."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import attrs

#: A key that was taken away is out of use everywhere within this time.
REVOKE_S = 4.0
LIMIT_WINDOW_S = 3.0
#: Of the organisation that has a limit, over all gateways, in calls.
LIMIT_PER_S = 6.0
LIMIT_BURST = 6.0
LIMITED = 'limited'
NAMES = ('acme', 'other', LIMITED)
#: Share of the calls with a key that was taken away, or that nobody ever held.
WRONG_SHARE = 0.1


@attrs.define
class Key:
    """A key and who held it.

    :ivar taken_s: when it was taken away, on the clock of the loop; ``None`` if it was not.
    :ivar taken_for_sure: whether the store has confirmed that, and not lost it before all knew.
    """

    text: str
    organisation: str
    taken_s: float | None = None
    taken_for_sure: bool = False

    def is_revoked(self, at_s: float) -> bool:
        """Return whether no gateway may take it any more."""
        return self.taken_s is not None and self.taken_for_sure and at_s > self.taken_s + REVOKE_S


class Keys:
    """All keys that there ever were."""

    def __init__(self) -> None:
        self._by_text: dict[str, Key] = {}
        self._number = 0
        # Of its own, so that a seed strikes the same with and without keys.
        self._random = random.Random(1)

    def change(self) -> list[dict[str, Any]]:
        """Take the oldest key of each organisation away, give a new one; return the entries."""
        now_s = asyncio.get_running_loop().time()
        entries = []
        for name in NAMES:
            held = self._held(name)
            if len(held) > 1:
                held.pop(0).taken_s = now_s
            self._number += 1
            key = Key(f'secret-{name}-{self._number:04d}', name)
            self._by_text[key.text] = key
            held.append(key)
            entry: dict[str, Any] = {'Name': name, 'Keys': [one.text for one in held]}
            if name == LIMITED:
                entry |= {'RatePerS': LIMIT_PER_S, 'Burst': LIMIT_BURST}
            entries.append(entry)
        return entries

    def confirm(self) -> None:
        """Count the keys that were taken away without a confirmation from now on."""
        for key in self._by_text.values():
            if key.taken_s is not None and not key.taken_for_sure:
                key.taken_s = asyncio.get_running_loop().time()
                key.taken_for_sure = True

    def doubt(self, known_s: float) -> None:
        """Note that the store may have lost what it confirmed within *known_s*, in seconds."""
        now_s = asyncio.get_running_loop().time()
        for key in self._by_text.values():
            if key.taken_s is not None and key.taken_s > now_s - known_s:
                key.taken_for_sure = False

    def _held(self, name: str) -> list[Key]:
        return [
            key
            for key in self._by_text.values()
            if key.organisation == name and key.taken_s is None
        ]

    def draw(self) -> str:
        """Return a key for a call, now and then a wrong one."""
        if self._random.random() < WRONG_SHARE:
            taken = [key.text for key in self._by_text.values() if key.taken_s is not None]
            return self._random.choice([*taken, 'secret-of-nobody'])
        # The newest one may not be known everywhere yet.
        return self._held(self._random.choice(NAMES))[0].text

    def newest(self) -> str:
        """Return a key of an organisation without a limit."""
        return self._held(NAMES[0])[-1].text

    def get(self, text: str) -> Key | None:
        """Return a key; ``None`` if nobody ever held it."""
        return self._by_text.get(text)

    def all(self) -> list[str]:
        """Return the text of all keys, wrong ones included."""
        return [*self._by_text, 'secret-of-nobody']

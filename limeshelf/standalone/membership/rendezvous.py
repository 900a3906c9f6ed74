"""Rendezvous hashing: all processes rank the same members in the same order.

Holds no state. Duties are assigned from the set of members alone, without messages.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Length of a weight: long enough to make equal weights very unlikely. Equal ones are ordered
#: by member name.
WEIGHT_BYTES = 8


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return *members* by descending weight for *key*.

    A member that joins or leaves changes only the keys that it ranks first for.
    """
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def _weight(key: str, member: str) -> tuple[bytes, str]:
    digest = hashlib.blake2b(f'{key}\0{member}'.encode(), digest_size=WEIGHT_BYTES).digest()
    return digest, member

"""Rendezvous hashing: everybody ranks the same members in the same order.

Owns no state and relies on nothing: who does a duty follows from the members alone, without
a message.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Length of a weight: enough that two members hardly ever have the same; where they do, their
#: names decide.
WEIGHT_BYTES = 8


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return *members*, the highest weight for *key* first.

    A member that joins or leaves moves only the keys it wins or held.
    """
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def _weight(key: str, member: str) -> tuple[bytes, str]:
    digest = hashlib.blake2b(f'{key}\0{member}'.encode(), digest_size=WEIGHT_BYTES).digest()
    return digest, member

"""The organisations of one configuration, found by the key that a call carries.

Values only. Keys are kept as digests: what holds no key can put none into a log line, an
error or a message, and comparing digests tells nothing about a key by the time it takes.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NewType

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Stands for a key wherever it is compared or kept.
KeyDigest = NewType('KeyDigest', bytes)

#: Long enough that two keys never share a digest.
DIGEST_BYTES = 16


def digest_of(key: str) -> KeyDigest:
    """Return what stands for a key."""
    data = key.encode(errors='surrogateescape')
    return KeyDigest(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())


@attrs.frozen
class UsageLimit:
    """How much an organisation may use, over all gateways together.

    :param per_s: units a second.
    :param burst: units beyond that, once.
    :param in_tokens: whether the unit is a token; otherwise it is a call.
    :param plain_call_tokens: what a call counts that states no tokens, where the unit is one.
    """

    per_s: float
    burst: float
    in_tokens: bool = False
    plain_call_tokens: int = 0

    def cost_of(self, tokens: int | None) -> int:
        """Return what a call counts.

        :param tokens: of the prompt and the most that may be generated; ``None`` for a call
            that states none.
        """
        if not self.in_tokens:
            return 1
        return self.plain_call_tokens if tokens is None else tokens


@attrs.frozen
class Organisation:
    """Who sends calls under some keys.

    :param priority: rank of its calls, before that of their route; 0 is the most urgent,
        ``None`` leaves it to the route.
    :param limit: ``None`` for no limit.
    """

    name: str
    priority: int | None = None
    limit: UsageLimit | None = None


class Organisations:
    """All organisations of a configuration, by key."""

    def __init__(self, entries: Iterable[tuple[Organisation, Iterable[KeyDigest]]]) -> None:
        self._by_key: dict[KeyDigest, Organisation] = {}
        self._by_name: dict[str, Organisation] = {}
        for organisation, keys in entries:
            self._by_name[organisation.name] = organisation
            self._by_key.update(dict.fromkeys(keys, organisation))

    def holder_of(self, key: KeyDigest | None) -> Organisation | None:
        """Return the organisation that holds a key; ``None`` if none does."""
        return None if key is None else self._by_key.get(key)

    def limit_of(self, name: str) -> UsageLimit | None:
        """Return the limit of an organisation; ``None`` without one, or if it is not known."""
        organisation = self._by_name.get(name)
        return None if organisation is None else organisation.limit

"""Organisations with their API keys and usage limits, as one configuration defines them.

Contains values only. Keys are stored as digests, so that no key can end up in a log line, an
error or a message, and so that the duration of a comparison reveals nothing about a key.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NewType

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Digest that replaces a key wherever it is compared or stored.
KeyDigest = NewType('KeyDigest', bytes)

#: Long enough to make collisions between keys negligible.
DIGEST_BYTES = 16


def digest_of(key: str) -> KeyDigest:
    """Return the digest of a key."""
    data = key.encode(errors='surrogateescape')
    return KeyDigest(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())


@attrs.frozen
class UsageLimit:
    """The usage limit of an organisation, over all gateways together.

    :param per_s: sustained rate, in units a second.
    :param burst: units that may be used at once beyond that rate.
    :param in_tokens: whether the unit is a token; otherwise it is a call.
    :param plain_call_tokens: cost of a call that states no token count, if the unit is a token.
    """

    per_s: float
    burst: float
    in_tokens: bool = False
    plain_call_tokens: int = 0

    def cost_of(self, tokens: int | None) -> int:
        """Return the cost of a call, in units of the limit.

        :param tokens: tokens of the prompt plus the maximum to generate; ``None`` if the call
            states no token count.
        """
        if not self.in_tokens:
            return 1
        return self.plain_call_tokens if tokens is None else tokens


@attrs.frozen
class Organisation:
    """A customer, whose calls are identified by their keys.

    :param priority: priority of its calls, which overrides that of their route; 0 is the most
        urgent, ``None`` uses the priority of the route.
    :param limit: usage limit; ``None`` for no limit.
    """

    name: str
    priority: int | None = None
    limit: UsageLimit | None = None


class Organisations:
    """All organisations of a configuration, indexed by key and by name."""

    def __init__(self, entries: Iterable[tuple[Organisation, Iterable[KeyDigest]]]) -> None:
        self._by_key: dict[KeyDigest, Organisation] = {}
        self._by_name: dict[str, Organisation] = {}
        for organisation, keys in entries:
            self._by_name[organisation.name] = organisation
            self._by_key.update(dict.fromkeys(keys, organisation))

    def holder_of(self, key: KeyDigest | None) -> Organisation | None:
        """Return the organisation that a key belongs to, or ``None`` if there is none."""
        return None if key is None else self._by_key.get(key)

    def limit_of(self, name: str) -> UsageLimit | None:
        """Return the limit of an organisation; ``None`` if it has none or is unknown."""
        organisation = self._by_name.get(name)
        return None if organisation is None else organisation.limit

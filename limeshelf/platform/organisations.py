"""Reads the organisations in the operator's configuration row.

Owns the format, its defaults and the validation of entries. Comments explain fields whose
platform name is misleading.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limeshelf.errors import InvalidDocument, Problem
from limeshelf.organisations.organisation import (
    Organisation,
    Organisations,
    UsageLimit,
    digest_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

#: The unit of limits that are counted in tokens; any other unit counts calls.
UNIT_TOKENS = 'tokens'
#: Path of the entries in the row, for error messages.
ENTRIES_PATH = 'Tenants'


class OrganisationEntry(msgspec.Struct, rename='pascal'):
    """The entry of one organisation in the row."""

    name: str
    keys: list[str] = []
    #: Overrides the priority of the route; 0 is the most urgent.
    priority: int | None = None
    #: Unit of the rate and burst limits below: :data:`UNIT_TOKENS`; anything else means calls.
    unit: str = ''
    #: Unrelated to caches: the cost in tokens of a call that states no token count.
    uncached_tokens: int = 0
    #: Units per second, not only requests. 0 for no limit, regardless of ``burst``.
    rate_per_s: float = 0.0
    burst: float = 0.0


def read_organisations(entries: Sequence[OrganisationEntry]) -> Organisations:
    """Return the organisations of a configuration.

    :raises InvalidDocument: with the path of each fault; keys never appear in it.
    """
    problems = list(_problems(entries))
    if problems:
        raise InvalidDocument(problems)
    return Organisations(
        (_organisation(entry), [digest_of(key) for key in entry.keys]) for entry in entries
    )


def _organisation(entry: OrganisationEntry) -> Organisation:
    limit = None
    if entry.rate_per_s > 0:
        limit = UsageLimit(
            per_s=entry.rate_per_s,
            burst=entry.burst,
            in_tokens=entry.unit == UNIT_TOKENS,
            plain_call_tokens=entry.uncached_tokens,
        )
    return Organisation(entry.name, entry.priority, limit)


def _problems(entries: Sequence[OrganisationEntry]) -> Iterator[Problem]:
    names: set[str] = set()
    holders: dict[str, str] = {}
    for index, entry in enumerate(entries):
        path = f'{ENTRIES_PATH}.{index}'
        # The name is sent in a header of each call.
        if not entry.name.strip() or not (entry.name.isascii() and entry.name.isprintable()):
            yield Problem(f'{path}.Name', 'expected printable ASCII')
        if entry.name in names:
            yield Problem(f'{path}.Name', 'duplicate name')
        names.add(entry.name)
        amounts = {
            'RatePerS': entry.rate_per_s,
            'Burst': entry.burst,
            'UncachedTokens': entry.uncached_tokens,
        }
        for name, amount in amounts.items():
            if amount < 0:
                yield Problem(f'{path}.{name}', 'expected 0 or more')
        for key_index, key in enumerate(entry.keys):
            if holders.setdefault(key, entry.name) != entry.name:
                yield Problem(f'{path}.Keys.{key_index}', 'key of another organisation')

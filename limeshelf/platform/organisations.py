"""The organisations in the operator's configuration row, read into the product's.

Owns the format and its defaults, and what makes an entry invalid. The comments stand where
the platform's name misleads.
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

#: The unit of limits that is no call.
UNIT_TOKENS = 'tokens'
#: Place of the entries in the row, for messages about what is wrong there.
ENTRIES = 'Tenants'


class OrganisationEntry(msgspec.Struct, rename='pascal'):
    """One organisation as the row spells it."""

    name: str
    keys: list[str] = []
    #: Goes before the route's; 0 is the most urgent.
    priority: int | None = None
    #: Of the two limits below: :data:`UNIT_TOKENS`, or calls.
    unit: str = ''
    #: Not about caches: what a call counts that states no tokens.
    uncached_tokens: int = 0
    #: Not requests alone: units a second. 0 for no limit, whatever ``burst`` says.
    rate_per_s: float = 0.0
    burst: float = 0.0


def read_organisations(entries: Sequence[OrganisationEntry]) -> Organisations:
    """Return the organisations of a configuration.

    :raises InvalidDocument: with the place of each fault; never with a key.
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
    for number, entry in enumerate(entries):
        place = f'{ENTRIES}.{number}'
        # The name goes into a header of each call.
        if not entry.name.strip() or not (entry.name.isascii() and entry.name.isprintable()):
            yield Problem(f'{place}.Name', 'expected printable ASCII')
        if entry.name in names:
            yield Problem(f'{place}.Name', 'given twice')
        names.add(entry.name)
        figures = {
            'RatePerS': entry.rate_per_s,
            'Burst': entry.burst,
            'UncachedTokens': entry.uncached_tokens,
        }
        for name, figure in figures.items():
            if figure < 0:
                yield Problem(f'{place}.{name}', 'expected 0 or more')
        for key_number, key in enumerate(entry.keys):
            if holders.setdefault(key, entry.name) != entry.name:
                yield Problem(f'{place}.Keys.{key_number}', 'another organisation holds it too')

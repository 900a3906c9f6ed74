"""The era of the platform's store, as the head of each of its answers states it.

Owns the latest era that this process knows from the store itself. An answer without a usable
one is taken as of that era: earlier deployments state none, and lose nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.metrics.event_log import log_change

if TYPE_CHECKING:
    from collections.abc import Callable

#: Header of all answers of the store; rises by one each time it comes back from an older copy.
ERA_HEADER = 'Store-Era'
#: Digits of a usable era at the most; eras are the upper part of fences.
MAX_DIGITS = 6


def read_era(header: str | None) -> int | None:
    """Return the era in a header; ``None`` without one, and where it is no count."""
    if header is None or not header.isascii() or not header.isdigit():
        return None
    return int(header) if len(header) <= MAX_DIGITS else None


class StoreEra:
    """The latest era that answers have stated.

    :param on_later: called with the era when an answer is the first of a later one.
    """

    def __init__(self, on_later: Callable[[int], None]) -> None:
        self._on_later = on_later
        self._latest: int | None = None
        self._unusable: str | None = None

    def note(self, header: str | None) -> int:
        """Return the era of an answer with this header."""
        era = read_era(header)
        if era is None:
            self._note_unusable(header)
            era = self._latest or 0
        if self._latest is None or era > self._latest:
            if header is not None:
                log_change('store_era', era=era, era_before=self._latest)
            self._latest = era
            self._on_later(era)
        return era

    def is_over(self, era: int) -> bool:
        """Return whether the store is known to be in a later era than *era*."""
        return self._latest is not None and self._latest > era

    def _note_unusable(self, header: str | None) -> None:
        if header is not None and header != self._unusable:
            log_change('store_era_unusable', header=header[:MAX_DIGITS])
        self._unusable = header

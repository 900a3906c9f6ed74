"""The era of the platform's store, which a header of each response states.

The era is a generation number that rises whenever the store is restored from an older copy.
Owns the latest era that the store has reported to this process. A response without a valid
era is assigned to that era: deployments whose store sends no era work without restrictions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.metrics.event_log import log_change

if TYPE_CHECKING:
    from collections.abc import Callable

#: Header of all responses of the store; its value rises by one whenever the store is restored
#: from an older copy.
ERA_HEADER = 'Store-Era'
#: Maximum number of digits of a valid era; fencing tokens carry the era in their upper part.
MAX_ERA_DIGITS = 6


def read_era(header: str | None) -> int | None:
    """Return the era in a header; ``None`` if it is missing or not a valid count."""
    if header is None or not header.isascii() or not header.isdigit():
        return None
    return int(header) if len(header) <= MAX_ERA_DIGITS else None


class StoreEra:
    """Tracks the latest era that responses of the store have reported.

    :param on_advance: called with the era of the first response, and with each later one.
    """

    def __init__(self, on_advance: Callable[[int], None]) -> None:
        self._on_advance = on_advance
        self._latest: int | None = None
        self._last_unusable: str | None = None

    def observe(self, header: str | None) -> int:
        """Return the era of a response with this header, and record it if it is the latest."""
        era = read_era(header)
        if era is None:
            self._log_unusable(header)
            era = self._latest or 0
        if self._latest is None or era > self._latest:
            if header is not None:
                log_change('store_era', era=era, era_before=self._latest)
            self._latest = era
            self._on_advance(era)
        return era

    def is_superseded(self, era: int) -> bool:
        """Return whether the store has reported a later era than *era*."""
        return self._latest is not None and self._latest > era

    def _log_unusable(self, header: str | None) -> None:
        if header is not None and header != self._last_unusable:
            log_change('store_era_unusable', header=header[:MAX_ERA_DIGITS])
        self._last_unusable = header

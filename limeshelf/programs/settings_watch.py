"""Reloads a gateway's settings when their file changes.

Owns the settings last read. Relies on :mod:`limeshelf.settings.gateway` to validate a changed
file.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import InvalidDocument
from limeshelf.metrics.event_log import log_change
from limeshelf.settings.gateway import GatewaySettings, SettingsFile
from limeshelf.util.backoff import jittered_s

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

#: Interval between checks of the file; a signal triggers an immediate check.
CHECK_INTERVAL_S = 1.0
#: Fields that are applied to a running process; the others need a restart.
RELOADABLE_FIELDS = frozenset({'store_address', 'seeds', 'retries', 'grace_s', 'weight'})


class SettingsWatch:
    """Watches a settings file; if a changed file is invalid, the current settings stay.

    :param current: the file that the current settings are from; a difference from it is a change,
        also one that was made before the watch was.
    :param on_change: called with the new settings.
    """

    def __init__(
        self, path: Path, current: SettingsFile, on_change: Callable[[GatewaySettings], None]
    ) -> None:
        self._path = path
        self._settings = current.settings
        self._on_change = on_change
        self._content = current.content
        self._check_requested = asyncio.Event()

    def check_now(self) -> None:
        """Request an immediate check of the file; called on a signal."""
        self._check_requested.set()

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            try:
                async with asyncio.timeout(jittered_s(CHECK_INTERVAL_S)):
                    await self._check_requested.wait()
            except TimeoutError:
                # No signal arrived within the interval: the usual case.
                pass
            else:
                self._check_requested.clear()
            self.check()

    def check(self) -> None:
        """Apply the settings if the file has changed and is valid."""
        content = self._read()
        if content == self._content:
            return
        self._content = content
        try:
            settings = SettingsFile.from_content(content).settings
        except InvalidDocument as error:
            problems = [f'{problem.path}: {problem.message}' for problem in error.problems]
            log_change('reload_refused', problems=problems)
            return
        changed = _changed_fields(self._settings, settings)
        self._settings = settings
        log_change(
            'reload',
            changed=sorted(changed & RELOADABLE_FIELDS),
            needs_start=sorted(changed - RELOADABLE_FIELDS),
        )
        self._on_change(settings)

    def _read(self) -> bytes:
        try:
            return self._path.read_bytes()
        except OSError:
            # The file may be missing while it is replaced. This counts as a change, so that
            # check() logs it.
            return b''


def _changed_fields(before: GatewaySettings, after: GatewaySettings) -> set[str]:
    names = [field.name for field in attrs.fields(GatewaySettings)]
    return {name for name in names if getattr(before, name) != getattr(after, name)}

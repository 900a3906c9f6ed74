"""Reads a gateway's settings again when their file changes.

Owns the settings last read. Relies on :mod:`limeshelf.settings.gateway` for whether a
changed file is right.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import InvalidDocument
from limeshelf.metrics.event_log import log_change
from limeshelf.settings.gateway import GatewaySettings, load_gateway_settings
from limeshelf.util.backoff import jittered_s

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

#: The file is checked this often; a signal brings the next check forward.
CHECK_INTERVAL_S = 1.0
#: Fields that a running process takes over; the others need a start.
TAKEN_OVER = frozenset({'store_address', 'seeds', 'retries', 'grace_s', 'weight'})


class SettingsWatch:
    """Follows a settings file; what is in force stays if the new one is faulty.

    :param on_change: called with the new settings.
    """

    def __init__(
        self, path: Path, settings: GatewaySettings, on_change: Callable[[GatewaySettings], None]
    ) -> None:
        self._path = path
        self._settings = settings
        self._on_change = on_change
        self._content = self._read()
        self._asked = asyncio.Event()

    def check_now(self) -> None:
        """Check the file without delay, as a signal asks for."""
        self._asked.set()

    async def run(self) -> None:
        """Check the file again and again, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(jittered_s(CHECK_INTERVAL_S)):
                    await self._asked.wait()
            except TimeoutError:
                # The usual case: no signal came, and the file is due for a check.
                pass
            else:
                self._asked.clear()
            self.check()

    def check(self) -> None:
        """Take the settings over if the file has changed and is right."""
        content = self._read()
        if content == self._content:
            return
        self._content = content
        try:
            settings = load_gateway_settings(self._path)
        except InvalidDocument as error:
            problems = [f'{one.path}: {one.message}' for one in error.problems]
            log_change('reload_refused', problems=problems)
            return
        changed = _changed_fields(self._settings, settings)
        self._settings = settings
        log_change(
            'reload',
            changed=sorted(changed & TAKEN_OVER),
            needs_start=sorted(changed - TAKEN_OVER),
        )
        self._on_change(settings)

    def _read(self) -> bytes:
        try:
            return self._path.read_bytes()
        except OSError:
            # Missing, for example while it is replaced: a change, so that the check logs it.
            return b''


def _changed_fields(before: GatewaySettings, after: GatewaySettings) -> set[str]:
    names = [field.name for field in attrs.fields(GatewaySettings)]
    return {name for name in names if getattr(before, name) != getattr(after, name)}

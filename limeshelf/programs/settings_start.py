"""Reads the settings of a starting gateway, whose file the platform may still be writing."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

from limeshelf.errors import IncompleteDocument
from limeshelf.settings.gateway import SettingsFile
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from pathlib import Path

    from limeshelf.errors import InvalidDocument

#: Time after which a file that is missing or incomplete counts as invalid.
COMPLETE_WITHIN_S = 3.0
#: Interval between readings of such a file.
READ_AGAIN_S = 0.1


def read_settings(path: Path) -> SettingsFile:
    """Return a settings file that is complete within :data:`COMPLETE_WITHIN_S`.

    A complete file with other faults is not read again.

    :raises InvalidDocument: with one problem for each fault.
    """
    end_s = boottime_s() + COMPLETE_WITHIN_S
    has_reported = False
    while True:
        try:
            return SettingsFile.from_path(path)
        except IncompleteDocument as error:
            if boottime_s() >= end_s:
                raise
            if not has_reported:
                report_problems(path, error)
                has_reported = True
        time.sleep(READ_AGAIN_S)


def report_problems(path: Path, error: InvalidDocument) -> None:
    """Write the faults of a settings file to standard error."""
    for problem in error.problems:
        sys.stderr.write(f'{path}: {problem.path}: {problem.message}\n')
    sys.stderr.flush()

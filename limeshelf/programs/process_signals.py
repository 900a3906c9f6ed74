"""What signals do to a gateway process, from its first lines on.

``SIGHUP`` tells a process that its settings have changed; unhandled, it ends the process. A
starting process ignores it, as :mod:`limeshelf.programs.settings_watch` also checks the file
without a signal.
"""

from __future__ import annotations

import signal


def ignore_reload() -> None:
    """Let SIGHUP have no effect until the process handles it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

"""``limeshelf-gateway``: handles the signals of the process, then imports and runs the gateway.

Importing the gateway takes longer than everything else in a start, and by default SIGHUP ends a
process. So this module imports little, and :mod:`limeshelf.programs.gateway_service` only once
that signal is ignored.
"""

from __future__ import annotations

import os

from limeshelf.programs import process_signals


def main() -> None:
    """Run the console script."""
    process_signals.ignore_reload()
    # Must be set before the first event loop is created: otherwise uvloop uses io_uring.
    os.environ['UV_USE_IO_URING'] = '0'
    from limeshelf.programs import gateway_service

    gateway_service.run_command()


if __name__ == '__main__':
    main()

"""Signals at every moment of a gateway process, as the platform may send them."""

from __future__ import annotations

import signal
import time
from pathlib import Path

from tests.support.start import PAUSE_S, StartingGateway

STARTED = '"event":"started"'
#: Part of the first lines that ``-X importtime`` writes once the program imports libraries.
IMPORTING = 'typer'


def test_sighup_does_not_end_a_gateway_that_is_starting(tmp_path: Path) -> None:
    # Guards against a process that handles SIGHUP only once it has started.
    with StartingGateway(tmp_path, '-X', 'importtime') as gateway:
        gateway.write_settings()
        gateway.start()
        gateway.wait_for(IMPORTING)
        while STARTED not in gateway.log() and gateway.status is None:
            gateway.signal(signal.SIGHUP)
            time.sleep(PAUSE_S)
        assert gateway.status is None
        assert STARTED in gateway.log()

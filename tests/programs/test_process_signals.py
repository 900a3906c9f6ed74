"""Signals at every moment of a gateway process, as the platform may send them."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest

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


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signals_do_not_end_a_stopped_gateway_before_it_exits(
    tmp_path: Path, number: signal.Signals
) -> None:
    # Guards against handlers that end with the event loop, before the process does.
    with StartingGateway(tmp_path) as gateway:
        gateway.write_settings()
        gateway.start()
        gateway.wait_for_stop_handler()
        gateway.signal(signal.SIGTERM)
        while gateway.status is None:
            gateway.signal(number)
            time.sleep(PAUSE_S)
        assert gateway.status == 0


def test_sighup_reloads_the_settings(tmp_path: Path) -> None:
    with StartingGateway(tmp_path) as gateway:
        gateway.write_settings()
        gateway.start()
        gateway.wait_for_stop_handler()
        gateway.write_settings(weight=2.0)
        gateway.signal(signal.SIGHUP)
        gateway.wait_for('"event":"reload"')
        assert gateway.status is None
        gateway.signal(signal.SIGINT)
        assert gateway.wait_for_end() == 0

"""Settings files that are missing, half written or invalid when a gateway starts."""

from __future__ import annotations

import json
import time
from pathlib import Path

import pytest

from limeshelf.programs.settings_start import COMPLETE_WITHIN_S
from tests.support.start import StartingGateway

STARTED = '"event":"started"'
RELOADED = '"event":"reload"'
#: Written by ``-X importtime`` when the first address is resolved, after the settings were read.
LISTENING = 'stringprep'


@pytest.mark.parametrize('share', [None, 0.0, 0.5])
def test_gateway_starts_from_a_file_that_is_completed_later(
    tmp_path: Path, share: float | None
) -> None:
    # Guards against an end of the process because its settings file is still being written.
    with StartingGateway(tmp_path) as gateway:
        if share is not None:
            text = json.dumps(gateway.document)
            gateway.path.write_text(text[: int(len(text) * share)])
        gateway.start()
        gateway.wait_for(str(gateway.path))
        gateway.write_settings()
        gateway.wait_for(STARTED)
        assert gateway.status is None


def test_file_that_stays_incomplete_ends_the_process_with_its_fault(tmp_path: Path) -> None:
    with StartingGateway(tmp_path) as gateway:
        gateway.path.write_text('{')
        gateway.start()
        assert gateway.wait_for_end() == 2
        assert f'{gateway.path}: .: is not JSON' in gateway.log()


def test_complete_file_with_a_fault_ends_the_process_at_once(tmp_path: Path) -> None:
    with StartingGateway(tmp_path) as gateway:
        gateway.write_settings(grace_s=-1.0)
        gateway.start()
        gateway.wait_for('grace_s')
        began_s = time.monotonic()
        assert gateway.wait_for_end() == 2
        assert time.monotonic() - began_s < COMPLETE_WITHIN_S / 2


def test_change_during_a_start_is_in_force_without_a_signal(tmp_path: Path) -> None:
    # Guards against a change that is lost between reading the settings and watching the file.
    with StartingGateway(tmp_path, '-X', 'importtime') as gateway:
        gateway.write_settings(weight=1.0)
        gateway.start()
        gateway.wait_for(LISTENING)
        gateway.write_settings(weight=2.0)
        gateway.wait_for(RELOADED)
        assert gateway.status is None

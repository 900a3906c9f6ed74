"""A gateway as a process of its own, from before its settings file exists until its end.

No store and no replica is there; the process starts without them.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import attrs

from tests.support.gateway import GatewayWorld

ROOT = Path(__file__).parent.parent.parent
LIMIT_S = 30.0
PAUSE_S = 0.005


class StartingGateway:
    """A gateway process, as a context manager; :meth:`start` starts it.

    :param options: options of the interpreter.
    """

    def __init__(self, folder: Path, *options: str) -> None:
        world = GatewayWorld(grace_s=8.0)
        # No process listens there.
        world.store_address = '127.0.0.1:1'
        self.document: dict[str, Any] = attrs.asdict(world.settings())
        self.path = folder / 'settings.json'
        self.log_path = folder / 'gateway.log'
        self.process: subprocess.Popen[bytes] | None = None
        self._options = options

    def write_settings(self, **changes: Any) -> None:
        """Write the settings file with these fields changed."""
        self.document.update(changes)
        self.path.write_text(json.dumps(self.document))

    def start(self) -> None:
        """Start the process; signals have their default effects on it."""
        command = [sys.executable, *self._options, '-m', 'limeshelf.programs.gateway']
        with self.log_path.open('wb') as log:
            self.process = subprocess.Popen(
                [*command, '--settings', str(self.path)],
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': str(ROOT)},
                stdout=log,
                stderr=subprocess.STDOUT,
                # Whoever runs the tests may ignore SIGHUP, and processes inherit that.
                preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
            )

    @property
    def status(self) -> int | None:
        """Return the exit status; ``None`` while the process runs."""
        assert self.process is not None
        return self.process.poll()

    def signal(self, number: int) -> None:
        """Send a signal to the process, unless it has ended."""
        assert self.process is not None
        if self.status is None:
            os.kill(self.process.pid, number)

    def log(self) -> str:
        """Return what the process has written."""
        return self.log_path.read_text(errors='replace')

    def wait_for(self, text: str) -> None:
        """Wait until the process has written *text* or ended."""
        end_s = time.monotonic() + LIMIT_S
        while text not in self.log() and self.status is None:
            assert time.monotonic() < end_s, text
            time.sleep(PAUSE_S)

    def wait_for_stop_handler(self) -> None:
        """Wait until the process handles SIGTERM."""
        end_s = time.monotonic() + LIMIT_S
        while not self._handled_signals() >> (signal.SIGTERM - 1) & 1:
            assert time.monotonic() < end_s
            time.sleep(PAUSE_S)

    def _handled_signals(self) -> int:
        assert self.process is not None
        lines = Path(f'/proc/{self.process.pid}/status').read_text().splitlines()
        (mask,) = [line.split()[1] for line in lines if line.startswith('SigCgt:')]
        return int(mask, 16)

    def wait_for_end(self) -> int:
        """Return the exit status once the process has ended."""
        assert self.process is not None
        return self.process.wait(LIMIT_S)

    def __enter__(self) -> StartingGateway:
        return self

    def __exit__(self, *_: object) -> None:
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait(LIMIT_S)

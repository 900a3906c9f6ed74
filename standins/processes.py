"""A child process started by a test, the demo or a benchmark, and signalled by its id."""

from __future__ import annotations

import json
import os
import select
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import attrs

HOST = '127.0.0.1'
#: Time within which a process must print its ports.
START_TIMEOUT_S = 30.0
#: Time within which a process must exit after a signal.
STOP_TIMEOUT_S = 20.0


@attrs.define
class ChildProcess:
    """A child process, the ports that it printed and its log file."""

    name: str
    process: subprocess.Popen[str]
    ports: dict[str, Any]
    log_path: Path

    @property
    def http(self) -> str:
        """Return the base URL of its HTTP listener."""
        return f'http://{HOST}:{self.ports["http_port"]}'

    def address(self, port_name: str) -> str:
        """Return ``ip:port`` of one of its listeners."""
        return f'{HOST}:{self.ports[port_name]}'

    def signal(self, number: int) -> None:
        """Send a signal unless the process has exited."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.signal(signal.SIGKILL)
        self.process.wait(STOP_TIMEOUT_S)

    def stop(self) -> int:
        """Send SIGTERM, wait until the process has exited and return its exit code."""
        self.signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)

    def log(self) -> str:
        """Return what the process has written to standard error."""
        return self.log_path.read_text(errors='replace')

    @classmethod
    def launch(cls, folder: Path, name: str, *arguments: str) -> ChildProcess:
        """Start Python with *arguments*; its standard error goes to a file in *folder*."""
        log_path = folder / f'{name}-{time.monotonic_ns()}.log'
        with log_path.open('w') as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                cwd=Path(__file__).parent.parent,
            )
        return cls(name, process, {}, log_path)

    def await_ports(self) -> None:
        """Wait for the line on standard output that states the ports.

        :raises SystemExit: with the log, if the line does not come in time.
        """
        stdout = self.process.stdout
        assert stdout is not None
        readable, _, _ = select.select([stdout], [], [], START_TIMEOUT_S)
        line = stdout.readline() if readable else ''
        if not line:
            raise SystemExit(f'{self.name} did not start:\n{self.log()}')
        self.ports = json.loads(line)

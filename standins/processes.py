"""One process that a test, the demo or a measurement started, ended by its id."""

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
#: Time that a process has to print its ports. Chosen, not measured.
START_LIMIT_S = 30.0
#: Time that a process has to end after a signal. Chosen, not measured.
STOP_LIMIT_S = 20.0


@attrs.define
class Started:
    """A running process and the ports it printed."""

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
        """Send a signal to this process, by its id."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill it and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait(STOP_LIMIT_S)

    def stop(self) -> int:
        """Stop it as planned; return its exit code."""
        self.signal(signal.SIGTERM)
        return self.process.wait(STOP_LIMIT_S)

    def log(self) -> str:
        """Return what it wrote to standard error."""
        return self.log_path.read_text(errors='replace')

    @classmethod
    def launch(cls, folder: Path, name: str, *arguments: str) -> Started:
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
        """Wait for the line with its ports.

        :raises SystemExit: with its log, when it does not start.
        """
        stdout = self.process.stdout
        assert stdout is not None
        readable, _, _ = select.select([stdout], [], [], START_LIMIT_S)
        line = stdout.readline() if readable else ''
        if not line:
            raise SystemExit(f'{self.name} did not start:\n{self.log()}')
        self.ports = json.loads(line)

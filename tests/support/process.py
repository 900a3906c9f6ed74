"""One gateway as a process of its own, in front of stand-ins in the test process."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from tests.support.gateway import GatewayWorld, Response, configuration

ROOT = Path(__file__).parent.parent.parent
START_LIMIT_S = 30.0
#: Time in which a call is repeated until it is answered.
ANSWER_LIMIT_S = 30.0
#: Memory of the smallest machine of the users.
MACHINE_MEMORY_MB = 200.0
KB_PER_MB = 1024


class ProcessWorld(GatewayWorld):
    """A gateway process, a store and replicas.

    :param document: the configuration.
    :param module: the program.
    """

    def __init__(
        self,
        document: dict[str, Any] | None = None,
        module: str = 'limeshelf.programs.gateway',
    ) -> None:
        super().__init__()
        self._module = module
        self.document = document or configuration(1)
        self._folder = tempfile.TemporaryDirectory()
        self._process: subprocess.Popen[bytes] | None = None
        self.addresses: dict[str, str] = {}

    async def __aenter__(self) -> ProcessWorld:
        self.store_address = await self.store.start()
        for replica in [*self.plain, *self.engines]:
            await replica.start()
            self.announce(replica)
        self.configure(self.document)
        self.caller = aiohttp.ClientSession(auto_decompress=False)
        self._start_process()
        await self._until_ready()
        return self

    def _start_process(self) -> None:
        settings = self.settings()
        self.addresses = {
            'calls': settings.calls_address,
            'readiness': settings.readiness_address,
            'peers': f'{settings.ip}:{settings.peer_port}',
            'forwards': f'{settings.ip}:{settings.forward_port}',
            'metrics': f'{settings.ip}:{settings.figures_port}',
        }
        folder = Path(self._folder.name)
        path = folder / 'settings.json'
        document = {**attrs.asdict(settings), 'machine': {'memory_mb': MACHINE_MEMORY_MB}}
        path.write_text(json.dumps(document))
        command = [sys.executable, '-m', self._module, '--settings', str(path)]
        with self.log_path.open('wb') as log:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': str(ROOT)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def log_path(self) -> Path:
        """Return the file with the process's standard output and error."""
        return Path(self._folder.name) / 'gateway.log'

    async def _until_ready(self) -> None:
        async with asyncio.timeout(START_LIMIT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.1)

    async def _is_ready(self) -> bool:
        assert self.caller is not None
        try:
            async with self.caller.get(f'http://{self.addresses["readiness"]}/readyz') as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        os.kill(self._process.pid, number)

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        assert self._process is not None
        return self._process.poll() is None

    def peak_memory_mb(self) -> float:
        """Return the largest memory that the process has had."""
        return self._status('VmHWM') / KB_PER_MB

    def memory_mb(self) -> float:
        """Return the memory of the process."""
        return self._status('VmRSS') / KB_PER_MB

    def _status(self, name: str) -> int:
        assert self._process is not None
        lines = Path(f'/proc/{self._process.pid}/status').read_text().splitlines()
        (line,) = [line for line in lines if line.startswith(f'{name}:')]
        return int(line.split()[1])

    def descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        assert self._process is not None
        return len(os.listdir(f'/proc/{self._process.pid}/fd'))

    async def answered(self, path: str = '/safe/x') -> Response:
        """Return the first answer to a call that is made again until it is served."""
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while True:
                try:
                    response = await self.call(path)
                except aiohttp.ClientError:
                    response = None
                if response is not None and response.status == 200:
                    return response
                await asyncio.sleep(0.2)

    async def __aexit__(self, *_: object) -> None:
        assert self.caller is not None and self._process is not None
        await self.caller.close()
        if self.is_alive():
            os.kill(self._process.pid, signal.SIGKILL)
        self._process.wait(10)
        for replica in [*self.plain, *self.engines]:
            await replica.close()
        await self.store.close()
        self._folder.cleanup()

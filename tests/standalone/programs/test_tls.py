"""TLS, tokens and log lines of the real programs."""

from __future__ import annotations

import json
import socket
import ssl
import subprocess
import sys
from pathlib import Path

import pytest
import trustme

from standins.calls import wait_until
from standins.launcher import System
from standins.processes import HOST

COMMAND = [sys.executable, '-c', 'from limeshelf.standalone.programs.cli import main; main()']


class Secured:
    """One instance with TLS on both listeners and a token."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.authority = trustme.CA()
        self.authority.cert_pem.write_to_path(folder / 'ca.pem')
        (folder / 'token').write_text('secret\n')
        (folder / 'other').write_text('wrong\n')
        self.issue()
        tls = {
            'certificate_file': str(folder / 'cert.pem'),
            'key_file': str(folder / 'key.pem'),
            'reload_check_s': 0.1,
        }
        settings = {
            'entry.tls': tls,
            'admin.tls': tls,
            'admin.token_file': str(folder / 'token'),
            'logs.json_lines': True,
        }
        self.system = System(settings)
        self.system.start_instances({'x': 1})
        self.instance = self.system.instances['x-0']

    def issue(self) -> None:
        """Put a fresh certificate and its key in place."""
        made = self.authority.issue_cert(HOST)
        made.private_key_pem.write_to_path(self.folder / 'key.pem')
        made.cert_chain_pems[0].write_to_path(self.folder / 'cert.pem')

    def served(self) -> bytes:
        """Return the certificate that callers get, checked against the authority."""
        context = ssl.create_default_context(cafile=str(self.folder / 'ca.pem'))
        port = self.instance.programs['entry'].ports['http_port']
        with (
            socket.create_connection((HOST, port), timeout=10) as plain,
            context.wrap_socket(plain, server_hostname=HOST) as secured,
        ):
            found = secured.getpeercert(True)
            assert found is not None
            return found

    def status(self, token: str) -> int:
        """Return the exit code of ``limeshelf status`` with a token."""
        options = ['--address', self.instance.rpc, '--ca-file', str(self.folder / 'ca.pem')]
        options += ['--token-file', str(self.folder / token), 'status']
        return subprocess.run([*COMMAND, *options], capture_output=True, timeout=30).returncode


@pytest.fixture
def secured(tmp_path: Path):
    made = Secured(tmp_path)
    yield made
    made.system.close()


def test_operators_need_the_token(secured: Secured) -> None:
    assert secured.status('token') == 0
    assert secured.status('other') == 1


def test_fresh_certificate_is_served_without_a_restart(secured: Secured) -> None:
    first = secured.served()
    secured.issue()
    wait_until(lambda: secured.served() != first)
    assert secured.status('token') == 0


def test_pair_that_does_not_fit_is_an_error_at_the_start(secured: Secured) -> None:
    (secured.folder / 'key.pem').write_text('no key')
    instance = secured.system.launch('x-9', 'x')
    for name, place in (('entry', 'entry.tls'), ('admin', 'admin.tls')):
        started = instance.programs[name]
        assert started.process.wait(30) == 2
        assert place in started.log()


def test_log_lines_are_json(secured: Secured) -> None:
    log = secured.instance.programs['entry'].log
    wait_until(lambda: 'serving' in log())
    lines = [json.loads(line) for line in log().splitlines()]
    assert any(line.get('phase') == 'serving' for line in lines)

"""Holds the files that the users' platform reads to build and run a gateway.

Red means that the platform may build, start or scrape something else. Put the
file back. A version in ``requirements.txt`` is raised on purpose only: then it
is raised in ``recorded/deploy`` too, in the same commit, after the demo has run
with it. When the module of the ``run`` line moves, its old path stays and still
starts it.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.forms.recorded import ROOT

WHAT_TO_DO = 'The deploy file is a contract; see the docstring of tests/forms/test_deploy.py.'
RECORDED = ROOT / 'tests' / 'forms' / 'recorded' / 'deploy'


def contents(directory: Path) -> dict[str, str]:
    return {path.name: path.read_text() for path in directory.iterdir() if path.is_file()}


def test_files_are_the_recorded_ones() -> None:
    """Beside them there are the days of our own, which no instance reads."""
    assert contents(ROOT / 'deploy') == contents(RECORDED), WHAT_TO_DO
    folders = [path.name for path in (ROOT / 'deploy').iterdir() if path.is_dir()]
    assert folders == ['days']


@pytest.mark.parametrize(
    'path', sorted((ROOT / 'deploy/days').iterdir()), ids=lambda path: path.stem
)
def test_day_of_our_own_says_what_it_guards_and_names_no_deployment(path: Path) -> None:
    text = path.read_text()
    assert text.startswith('# Guards: ')
    document = tomllib.loads(text)
    (day,) = document.get('day', [document])
    assert day['name'] == path.stem.replace('_', '-')
    for trouble in [*day.get('faults', []), *day.get('plan', [])]:
        assert trouble.get('zone', '@z0') == '@z0'
        assert trouble.get('service', '@s0') == '@s0'
        assert trouble.get('class', '@c0') == '@c0'


def test_run_line_starts_a_program_that_takes_settings() -> None:
    run = tomllib.loads((RECORDED / 'system.toml').read_text())['roles']['gateway']['run']
    module, option = re.fullmatch(r'python3 -m (\S+) (\S+) \S+', run).groups()
    done = subprocess.run(
        [sys.executable, '-m', module, option, '/nonexistent/settings'],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
    )
    assert done.returncode == 2, done
    assert 'cannot be read' in done.stderr, WHAT_TO_DO


def test_start_reads_no_certificates() -> None:
    """Benchmark: nine starts and a quiet day took 23.2 s of processor time with them, 20.8 s
    without."""
    env = tomllib.loads((RECORDED / 'system.toml').read_text())['roles']['gateway']['env']
    code = (
        'import limeshelf.programs.gateway, aiohttp.connector;'
        'print(aiohttp.connector._SSL_CONTEXT_VERIFIED.cert_store_stats()["x509"])'
    )
    done = subprocess.run(
        [sys.executable, '-c', code],
        cwd=ROOT,
        env={**os.environ, **env},
        text=True,
        capture_output=True,
        timeout=60,
    )
    assert done.stdout == '0\n', done

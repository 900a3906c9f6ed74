"""Runs all checks and tests and prints a one-line summary."""

from __future__ import annotations

import argparse
import os
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
BIN = Path(sys.executable).parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
#: Two incidents under work at a time need an entry for each variant of their tests.
MAX_KNOWN_RED = 8
LIMIT_S = 1800

LINT = {
    'ruff-format': [str(BIN / 'ruff'), 'format', '--check', '.'],
    'ruff-check': [str(BIN / 'ruff'), 'check', '.'],
    'import-contract': [str(BIN / 'lint-imports')],
    'mypy': [str(BIN / 'mypy')],
    'unused-code': [str(BIN / 'vulture')],
    'docs': [
        sys.executable,
        '-m',
        'sphinx',
        '-E',
        '-W',
        '-q',
        '-b',
        'html',
        'docs',
        'docs/_build/html',
    ],
}


def run(name: str, command: list[str]) -> tuple[int, str]:
    """Run a command and print its output; return its exit code and output."""
    print(f'== {name}', flush=True)
    environment = {**os.environ, 'PYTHONPATH': str(ROOT), 'PYTHONHASHSEED': '0'}
    completed = subprocess.run(
        command,
        cwd=ROOT,
        env=environment,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        timeout=LIMIT_S,
    )
    print(completed.stdout, flush=True)
    return completed.returncode, completed.stdout


def known_red() -> set[str]:
    """Return the names of the tests that KNOWN-RED.txt lists as known failures."""
    if not KNOWN_RED.exists():
        return set()
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        raise SystemExit(f'KNOWN-RED.txt has more than {MAX_KNOWN_RED} lines')
    return {line.split(',')[0].strip() for line in lines}


def run_lint() -> tuple[int, list[str]]:
    """Run the static checks; return the number that passed and the names that failed."""
    failed = [name for name, command in LINT.items() if run(name, command)[0] != 0]
    return len(LINT) - len(failed), failed


def run_pytest() -> tuple[int, list[str]]:
    """Run pytest; return the number of passed tests and the names of failed ones."""
    code, output = run('pytest', [sys.executable, '-m', 'pytest', '-rfE', '--durations=8'])
    passed = sum(int(n) for n in re.findall(r'(\d+) passed', output)[-1:])
    failed = re.findall(r'^(?:FAILED|ERROR) (\S+)', output, re.MULTILINE)
    if code != 0 and not failed:
        failed = ['pytest']
    return passed, failed


def run_behave() -> tuple[int, list[str]]:
    """Run behave; return the number of passed scenarios and the names of failed ones."""
    code, output = run(
        'behave',
        [sys.executable, '-m', 'behave', '--no-color', '--format=progress2', 'tests/features'],
    )
    summary = re.findall(r'(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?', output)
    failing = re.findall(r'^\s*(tests/features/\S+:\d+)  ', output, re.MULTILINE)
    passed = int(summary[-1][0]) if summary else 0
    if code != 0 and not failing:
        failing = ['behave']
    return passed, failing


def main() -> int:
    """Run the selected checks and tests and print the summary line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', choices=('lint', 'pytest', 'behave'))
    only = parser.parse_args().only
    parts = {'lint': run_lint, 'pytest': run_pytest, 'behave': run_behave}
    passed = 0
    failed: list[str] = []
    for name, part in parts.items():
        if only in (None, name):
            part_passed, part_failed = part()
            passed += part_passed
            failed += part_failed
    known_failures = known_red()
    for name in failed:
        print(f'failed{" (known red)" if name in known_failures else ""}: {name}')
    new_failures = [name for name in failed if name not in known_failures]
    print(f'{passed} passed, {len(failed)} failed', flush=True)
    return 1 if new_failures else 0


if __name__ == '__main__':
    sys.exit(main())

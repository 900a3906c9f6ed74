"""Time and peak memory of ``limeshelf account summary`` for a million log lines.

Measured on one core of an eight-core machine: 14.0 s and 236 MB. Target: under a minute and
under 500 MB.
"""

from __future__ import annotations

import json
import resource
import tempfile
import time
from pathlib import Path

from limeshelf.account.lines import LogReader
from limeshelf.account.summary import CallSummary

LINES = 1_000_000
TARGET_S = 60.0
TARGET_MB = 500.0


def write_lines(path: Path) -> None:
    """Write the two log lines of each of half a million refused calls at seven gateways."""
    with path.open('w') as stream:
        for n in range(LINES // 2):
            head = {'at_s': 1.7e9 + n / 500, 'instance': f'g-{n % 7}'}
            call = {'request': f'c-{n:x}', 'route': f'r-{n % 5}', 'model': f'm{n % 20}'}
            last = {'event': 'refused', 'request': call['request'], 'reason': 'overloaded'}
            first = {'event': 'refused_overloaded', 'waited_ms': 40, 'objective_ms': 400}
            stream.write(json.dumps(head | first | call) + '\n')
            stream.write(json.dumps(head | last) + '\n')


def main() -> None:
    """Print the time and the peak memory, and whether both are within their targets."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / 'gateways.log'
        write_lines(path)
        started_s = time.perf_counter()
        summary = CallSummary()
        with path.open('rb') as stream:
            summary.add_all(LogReader().read(stream))
        took_s = time.perf_counter() - started_s
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    verdict = 'within' if took_s < TARGET_S and peak_mb < TARGET_MB else 'beyond'
    print(f'{LINES} lines: {took_s:.1f} s, {peak_mb:.0f} MB at the peak, {verdict} the aims')


if __name__ == '__main__':
    main()

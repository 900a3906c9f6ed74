"""Time and memory that ``limeshelf account summary`` takes for a million log lines.

Measured on one core of an eight-core machine: 14.0 s and 236 MB. Aim: under a minute and
500 MB.
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
AIM_S = 60.0
AIM_MB = 500.0


def write_lines(path: Path) -> None:
    """Write lines of calls, half of them refused, as seven gateways write them."""
    with path.open('w') as stream:
        for n in range(LINES // 2):
            head = {'at_s': 1.7e9 + n / 500, 'instance': f'g-{n % 7}'}
            call = {'request': f'c-{n:x}', 'route': f'r-{n % 5}', 'model': f'm{n % 20}'}
            last = {'event': 'refused', 'request': call['request'], 'reason': 'overloaded'}
            first = {'event': 'refused_overloaded', 'waited_ms': 40, 'objective_ms': 400}
            stream.write(json.dumps(head | first | call) + '\n')
            stream.write(json.dumps(head | last) + '\n')


def main() -> None:
    """Print the time and the memory at its peak, and whether both are within their aims."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / 'gateways.log'
        write_lines(path)
        began_s = time.perf_counter()
        summary = CallSummary()
        with path.open('rb') as stream:
            summary.add_all(LogReader().read(stream))
        took_s = time.perf_counter() - began_s
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    verdict = 'within' if took_s < AIM_S and peak_mb < AIM_MB else 'beyond'
    print(f'{LINES} lines: {took_s:.1f} s, {peak_mb:.0f} MB at the peak, {verdict} the aims')


if __name__ == '__main__':
    main()

"""Processor time and memory of processes, and runs of the load generator."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def cpu_s(pid: int) -> float:
    """Return the processor time, user and system, that a process has used."""
    with open(f'/proc/{pid}/stat') as file:
        fields = file.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident set size of a process."""
    with open(f'/proc/{pid}/statm') as file:
        return int(file.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')


def start_client(url: str, kind: str, **options: float) -> subprocess.Popen[str]:
    """Start a load generator process (:mod:`benchmarks.client`)."""
    arguments = [part for name, value in options.items() for part in (f'--{name}', str(value))]
    command = [sys.executable, '-m', 'benchmarks.client', url, kind, *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def combined_results(clients: list[subprocess.Popen[str]]) -> dict[str, Any]:
    """Wait for load generator processes and combine their results."""
    outputs = [client.communicate(timeout=120)[0] for client in clients]
    rows = [json.loads(output) for output in outputs]
    return {
        'per_s': sum(row['done'] / row['took_s'] for row in rows),
        'done': sum(row['done'] for row in rows),
        'failed': sum(row['failed'] for row in rows),
        'first_s': sorted(value for row in rows for value in row['first_s']),
    }


def quantile(values: list[float], share: float) -> float:
    """Return the quantile *share*, from 0 to 1, of sorted *values*."""
    return values[min(len(values) - 1, int(share * len(values)))]

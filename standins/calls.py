"""Blocking JSON calls to stand-ins and programs, and waiting for a condition."""

from __future__ import annotations

import json
import time
import urllib.request
from typing import Any


def post(url: str, body: Any, method: str = 'POST') -> Any:
    """Send JSON to a stand-in; return its JSON answer, or ``None`` if the body is empty."""
    data = json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=10) as answer:
        reply = answer.read()
    return json.loads(reply) if reply else None


def get(url: str) -> Any:
    """Fetch JSON from a stand-in or a program."""
    with urllib.request.urlopen(url, timeout=10) as answer:
        return json.loads(answer.read())


def wait_until(check, limit_s: float = 20.0, pause_s: float = 0.05) -> float:
    """Poll *check* until it returns a true value; return the seconds waited.

    :raises TimeoutError: if it does not within *limit_s*.
    """
    started_s = time.monotonic()
    while True:
        try:
            if check():
                return time.monotonic() - started_s
        except OSError:
            pass
        if time.monotonic() - started_s > limit_s:
            raise TimeoutError(f'{check} did not hold within {limit_s} s')
        time.sleep(pause_s)

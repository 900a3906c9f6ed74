"""Processor time of the fingerprint of a call, by size of its body."""

from __future__ import annotations

import time

from limeshelf.calls.call import Call, ModelNeed
from limeshelf.calls.fingerprint import fingerprint_of

SIZES_BYTES = (0, 3_000, 100_000, 1_000_000)
ROUNDS = 200
MODEL_NEED = ModelNeed('model', 'a1', 1000, 100, 80, ())


def main() -> None:
    """Print the microseconds for each call."""
    for size in SIZES_BYTES:
        call = Call('id', 'POST', 'h', '/route/x', (), b'x' * size, 0.0, 1.0, MODEL_NEED, None)
        started_s = time.perf_counter()
        for _ in range(ROUNDS):
            fingerprint_of(call)
        took_us = (time.perf_counter() - started_s) / ROUNDS * 1e6
        print(f'{size:>9} bytes: {took_us:8.1f} us')


if __name__ == '__main__':
    main()

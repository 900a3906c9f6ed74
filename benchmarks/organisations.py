"""Cost of organisations in one process: reading the configuration, key look-ups, limits.

Prints one line for each figure. Run ``python -m benchmarks.organisations`` on an otherwise
idle machine.
"""

from __future__ import annotations

import json
import time
import tracemalloc
from typing import TYPE_CHECKING

from limeshelf.organisations.access import AccessRule, check_access
from limeshelf.organisations.limiter import Limiter, LimitRequest
from limeshelf.organisations.limits import LimitRule
from limeshelf.organisations.organisation import UsageLimit, digest_of
from limeshelf.platform.configuration import read_config

if TYPE_CHECKING:
    from collections.abc import Callable

ORGANISATIONS = 1600
KEYS_EACH = 10
#: Gateways in each data centre at the target size: 350 in five data centres.
GATEWAYS = 70
REPEATS = 5
CALLS = 20_000


def document() -> bytes:
    """Return a configuration that contains only organisations."""
    entries = [
        {
            'Name': f'organisation-{number}',
            'Keys': [f'key-{number}-{key}-abcdefgh' for key in range(KEYS_EACH)],
            'Priority': number % 3,
            'Unit': 'tokens',
            'UncachedTokens': 200,
            'RatePerS': 2700,
            'Burst': 2700,
        }
        for number in range(ORGANISATIONS)
    ]
    return json.dumps({'Version': 1, 'Routes': [], 'Services': [], 'Tenants': entries}).encode()


def best_s(action: Callable[[], object]) -> float:
    """Return the shortest processor time of several runs, in seconds."""
    times = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        action()
        times.append(time.process_time() - started_s)
    return min(times)


def main() -> None:
    """Run all measurements and print their results."""
    data = document()
    tracemalloc.start()
    config = read_config(data)
    kept_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    organisations = config.organisations
    assert organisations is not None
    print(
        f'{ORGANISATIONS} organisations with {KEYS_EACH} keys each: row {len(data) / 1e6:.2f} MB'
    )
    print(f'new version: {best_s(lambda: read_config(data)) * 1e3:.1f} ms, all of one step')
    print(f'kept: {kept_mb:.1f} MB')
    rule = AccessRule(5.0)

    def look_up() -> None:
        for number in range(CALLS):
            check_access(
                organisations,
                digest_of(f'unknown-{number}'),
                is_public=False,
                config_age_s=0.1,
                rule=rule,
            )

    print(f'unknown key: {best_s(look_up) / CALLS * 1e6:.1f} us to find that it is unknown')
    limiter = Limiter(LimitRule(8.0, 0.1, 11_000.0, 5), 0.0)
    limit = UsageLimit(2.7e6, 2.7e6, in_tokens=True)
    for number in range(GATEWAYS):
        used = {f'organisation-{one}': 100 for one in range(50)}
        limiter.record_report(f'g-{number}', 1, 1000.0, used, 1000.0)

    def decide() -> None:
        for number in range(CALLS // 10):
            question = LimitRequest('g-1', f'organisation-{number % 50}', limit, 1, GATEWAYS)
            limiter.decide(question, 1000.0)

    print(f'limit: {best_s(decide) / (CALLS // 10) * 1e6:.1f} us a call, {GATEWAYS} gateways')


if __name__ == '__main__':
    main()

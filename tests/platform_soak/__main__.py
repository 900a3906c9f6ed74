"""``make soak``: runs real gateways under seeded faults and reports violated guarantees."""

from __future__ import annotations

import argparse
import asyncio
import collections
import random
import sys
import time

from tests.platform_soak.run import soak
from tests.platform_soak.world import Site

#: Width of the links of machines in every other seed, that of most machines of large sites.
NARROW_LINK_MBPS = 10.0


def main() -> int:
    """Run the requested seeds and print a summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=None, help='first seed; random if omitted')
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=15.0)
    parser.add_argument('--gateways', type=int, default=6)
    parser.add_argument(
        '--link-mbps',
        type=float,
        default=None,
        help="width of the machines' links, 0 for no limit; 10 in odd seeds if omitted",
    )
    options = parser.parse_args()
    first = options.seed if options.seed is not None else random.randrange(1 << 30)
    failed = 0
    for seed in range(first, first + options.seeds):
        started_s = time.monotonic()
        link_mbps = options.link_mbps
        if link_mbps is None:
            link_mbps = NARROW_LINK_MBPS if seed % 2 else 0.0
        result = asyncio.run(soak(seed, options.seconds, options.gateways, Site(link_mbps)))
        statuses = dict(collections.Counter(record.status for record in result.history))
        print(
            f'seed {seed}: links {link_mbps:g} Mbit/s, {len(result.history)} calls {statuses}, '
            f'{len(result.faults)} faults, '
            f'{result.responses_checked} responses checked after changes, '
            f'{time.monotonic() - started_s:.0f} s, '
            f'{len(result.violations)} violations',
            flush=True,
        )
        for line in result.violations[:10]:
            print(f'  {line}', flush=True)
        if result.violations:
            failed += 1
            print(f'  faults: {result.faults}', flush=True)
    print(f'{options.seeds - failed} seeds passed, {failed} had violations')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

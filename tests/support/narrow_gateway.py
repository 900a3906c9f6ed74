"""``limeshelf-gateway`` on a machine whose link has the width that the environment states."""

from __future__ import annotations

import os

import uvloop

from limeshelf.programs import gateway
from tests.support.shaped_loop import ShapedLoop

#: Environment variable with the width of the link, in Mbit/s.
LINK_MBPS = 'TEST_LINK_MBPS'
BYTES_PER_MBIT = 125_000


def main() -> None:
    """Run the gateway program on a shaped loop."""
    bytes_per_s = float(os.environ[LINK_MBPS]) * BYTES_PER_MBIT
    uvloop.new_event_loop = lambda: ShapedLoop(bytes_per_s)  # type: ignore[assignment,return-value]
    gateway.main()


if __name__ == '__main__':
    main()

"""How often a table of the store is polled, and when its copy is stale."""

from __future__ import annotations

import attrs


@attrs.frozen
class FollowRule:
    """Timing for following one table.

    :mod:`limeshelf.programs.followed_tables` sets the values in use; the defaults are for a
    table whose rows are not exchanged with peers.

    :ivar wait_s: how long the store may hold a call for changes (long polling), in seconds.
    :ivar batch_delay_s: delay after an answer with changes, in seconds, so that the next answer
        contains several changes.
    :ivar stale_after_s: age of the last confirmation, in seconds, beyond which the copy is stale
        and the store is polled.
    :ivar max_start_delay_s: longest delay before the first call, in seconds. If all processes
        start together, their rows are not in the table yet, and peers may send the table
        meanwhile.
    """

    wait_s: float = 8.0
    batch_delay_s: float = 0.0
    stale_after_s: float = 1.0
    max_start_delay_s: float = 0.0

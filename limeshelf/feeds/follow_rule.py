"""How closely a table of the store is followed."""

from __future__ import annotations

import attrs


@attrs.frozen
class FollowRule:
    """How a table is followed.

    The values in force stand in :mod:`limeshelf.programs.followed_tables`; the defaults are
    for a table that no peer shares.

    :ivar wait_s: how long the store holds a call for changes, in seconds.
    :ivar pace_s: pause after changes, in seconds, so that one call brings several.
    :ivar stale_s: a copy that was not confirmed for longer, in seconds, is too old to go
        by, and the store is asked.
    :ivar first_delay_s: longest pause before the first call, in seconds. Where all processes
        start together, the rows of the others are not there yet; peers may bring the table
        meanwhile.
    """

    wait_s: float = 8.0
    pace_s: float = 0.0
    stale_s: float = 1.0
    first_delay_s: float = 0.0

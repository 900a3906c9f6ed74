"""Positions in the store's history, which order its answers.

The store numbers its transactions. It may be restored from a copy that is some seconds old; the
transactions acknowledged since then are lost, and the same numbers are assigned again. Each
restore begins a new era, so transaction numbers are comparable only within one era. The
adapter to the store creates positions from its answers.
"""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class Position:
    """A point in the store's history; later points compare greater.

    :param era: incremented by each restore from an older copy; 0 if the store states no era.
    :param version: number of the latest transaction of the whole store in that era.
    """

    era: int = 0
    version: int = 0


#: Before all other positions; as the condition of a write, that the row does not exist.
BEGINNING = Position()

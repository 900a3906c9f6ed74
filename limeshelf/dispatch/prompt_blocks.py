"""Which blocks of prompts a replica has read lately, and so need not read again.

Owns the time at which each block was last read at one replica; relies on nothing. Replicas
do not report what they keep, so this is a guess by age.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.dispatch.messages import DispatchQuery

#: A block counts as kept by the replica for this long after it was read.
BLOCK_LIFE_S = 12.0
#: Blocks remembered of a replica; the one read longest ago is forgotten first.
BLOCKS_KEPT = 1024


@attrs.define
class PromptBlocks:
    """The blocks that one replica has read lately."""

    _read_s: dict[str, float] = attrs.field(factory=dict)

    def unread_tokens(self, query: DispatchQuery, now_s: float) -> int:
        """Return the prompt tokens that the replica still has to read; at least 1.

        Only blocks at the head of the prompt save reading, up to the first that the
        replica does not keep.
        """
        unread = query.prompt_tokens
        oldest_s = now_s - BLOCK_LIFE_S
        for block in query.parts:
            if self._read_s.get(_block_key(query, block.part_id), 0.0) < oldest_s:
                break
            unread -= block.tokens
        return max(1, unread)

    def note_read(self, query: DispatchQuery, now_s: float) -> None:
        """Note that the replica reads the blocks of a prompt now."""
        for block in query.parts:
            key = _block_key(query, block.part_id)
            # Dropped first, so that the dictionary stays in the order of reading.
            self._read_s.pop(key, None)
            self._read_s[key] = now_s
        while len(self._read_s) > BLOCKS_KEPT:
            del self._read_s[next(iter(self._read_s))]


def _block_key(query: DispatchQuery, block_id: str) -> str:
    return f'{query.key.model}/{query.key.adapter}/{block_id}'

"""Estimates which prompt blocks a replica has cached, so that it need not prefill them again.

Owns the time at which each block was last prefilled at one replica. Replicas do not report the
contents of their caches, so this is an estimate by age.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.dispatch.messages import DispatchQuery

#: A block counts as cached by the replica for this long after its prefill.
BLOCK_TTL_S = 12.0
#: Blocks remembered per replica; the least recently prefilled one is evicted first.
MAX_BLOCKS = 1024


@attrs.define
class PromptBlocks:
    """The blocks that one replica has probably cached."""

    _prefilled_s: dict[str, float] = attrs.field(factory=dict)

    def uncached_tokens(self, query: DispatchQuery, now_s: float) -> int:
        """Return the prompt tokens that the replica still has to prefill; at least 1.

        Only blocks at the head of the prompt save prefill, up to the first that is not cached.
        """
        uncached = query.prompt_tokens
        oldest_s = now_s - BLOCK_TTL_S
        for block in query.parts:
            if self._prefilled_s.get(_block_key(query, block.part_id), 0.0) < oldest_s:
                break
            uncached -= block.tokens
        return max(1, uncached)

    def record_prefill(self, query: DispatchQuery, now_s: float) -> None:
        """Record that the replica prefills the blocks of a prompt now."""
        for block in query.parts:
            key = _block_key(query, block.part_id)
            # Removed first, so that the dictionary stays in order of prefill.
            self._prefilled_s.pop(key, None)
            self._prefilled_s[key] = now_s
        while len(self._prefilled_s) > MAX_BLOCKS:
            del self._prefilled_s[next(iter(self._prefilled_s))]


def _block_key(query: DispatchQuery, block_id: str) -> str:
    return f'{query.key.model}/{query.key.adapter}/{block_id}'

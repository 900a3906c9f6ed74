"""Decides which gateways keep the record of a stream.

Any gateway derives them from the id of the stream and the members that it knows, so that the one
where a stream is resumed finds what the one where it began has recorded. They are in three data
centres: the gateway where the stream began may have ended, and a data centre may be cut off.
Whether a member is active does not count, since gateways of other data centres do not know that
of all.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.membership.member import Member
    from limeshelf.membership.members import Members

#: Data centres in which a stream is recorded.
RECORDING_CENTRES = 3
#: Gateways of each of these; one may have just been killed.
RECORDERS_PER_CENTRE = 2


def recorders(members: Members, stream_id: str) -> list[Member]:
    """Return the other gateways that keep the record of a stream."""
    centres = sorted(members.centres(), key=lambda centre: _rank(stream_id, centre))
    chosen = []
    for centre in centres[:RECORDING_CENTRES]:
        ranked = sorted(
            members.ranked(centre), key=lambda member: _rank(stream_id, member.address)
        )
        chosen += ranked[:RECORDERS_PER_CENTRE]
    return [member for member in chosen if member is not members.own]


def _rank(stream_id: str, name: str) -> bytes:
    return hashlib.blake2b(f'{stream_id} {name}'.encode(), digest_size=8).digest()

"""Decides which gateways of a data centre are its relays.

The first gateways by rank are the relays: they pass on what the others of their data
centre do, and what the other data centres do. Ranks come from rows of the store, so
nobody has to be elected; gateways that see the others differently for a while send
some messages more.

Decides only; :class:`limeshelf.membership.members.Members` keeps the members.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limeshelf.membership.member import Member

#: Relays of a data centre: one may fail and the other has all digests.
RELAYS_PER_CENTRE = 2
#: A relay without a message for this long is replaced by the next by rank; five digests long.
RELAY_TIMEOUT_S = 1.2


@attrs.frozen
class RelayChoice:
    """The gateways of a data centre by their part in relaying, each by rank.

    :ivar relays: those that pass messages on now.
    :ivar silent: those that rank as relays and are passed over.
    :ivar standby: those that are not needed.
    """

    relays: list[Member] = attrs.field(factory=list)
    timed_out: list[Member] = attrs.field(factory=list)
    standby: list[Member] = attrs.field(factory=list)


def choose_relays(ranked: Sequence[Member], own: Member, now_s: float) -> RelayChoice:
    """Choose the relays among the gateways of one data centre.

    :param ranked: these gateways, the highest rank first.
    :param own: this gateway, which is never silent to itself.
    :param now_s: the time on the clock of the members.
    """
    choice = RelayChoice()
    for place, member in enumerate(ranked):
        if len(choice.relays) == RELAYS_PER_CENTRE:
            choice.standby.extend(ranked[place:])
            break
        if member is not own and _has_timed_out(member, now_s):
            choice.timed_out.append(member)
        else:
            choice.relays.append(member)
    return choice


def _has_timed_out(member: Member, now_s: float) -> bool:
    # A gateway that has just come to rank as a relay gets its moment first.
    return bool(member.relay_since_s) and member.since_message_s(now_s) > RELAY_TIMEOUT_S

"""Decides which gateways of a data centre are its relays.

Relays forward messages between the gateways of their data centre and the other data centres.
They are the first gateways by rank. Ranks are derived from rows of the store, so no election is
needed; while gateways disagree about the members, the only effect is some extra messages.

:class:`limeshelf.membership.members.Members` keeps the members.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limeshelf.membership.member import Member

#: Two relays, so that if one fails the other already has all digests.
RELAYS_PER_CENTRE = 2
#: A relay from which no message was received for this long is replaced by the next gateway by
#: rank. Five digest intervals.
RELAY_TIMEOUT_S = 1.2


@attrs.frozen
class RelayChoice:
    """The gateways of a data centre divided by role; each list is sorted by rank.

    :ivar relays: the relays.
    :ivar timed_out: gateways that rank above a relay but are skipped because they timed out.
    :ivar standby: gateways that are not needed as relays.
    """

    relays: list[Member] = attrs.field(factory=list)
    timed_out: list[Member] = attrs.field(factory=list)
    standby: list[Member] = attrs.field(factory=list)


def choose_relays(ranked: Sequence[Member], own: Member, now_s: float) -> RelayChoice:
    """Choose the relays among the gateways of one data centre.

    :param ranked: these gateways, the highest rank first.
    :param own: this gateway, which never times out in its own view.
    :param now_s: the current time on the boot clock.
    """
    choice = RelayChoice()
    for index, member in enumerate(ranked):
        if len(choice.relays) == RELAYS_PER_CENTRE:
            choice.standby.extend(ranked[index:])
            break
        if member is not own and _has_timed_out(member, now_s):
            choice.timed_out.append(member)
        else:
            choice.relays.append(member)
    return choice


def _has_timed_out(member: Member, now_s: float) -> bool:
    # A gateway that has only just become a relay by rank cannot have timed out.
    return bool(member.relay_since_s) and member.since_message_s(now_s) > RELAY_TIMEOUT_S

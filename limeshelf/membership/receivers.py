"""Decides which gateways receive which messages, so that few messages reach all gateways.

=================  ======================  ==============================================
message            sender                  receivers
=================  ======================  ==============================================
digest             every gateway           relays of its data centre
summary            every relay             gateways of its data centre
sum of digests     first relay             the leader and relays of other data centres
replica states     leader                  gateways of its data centre, relays of others
replica states,    first relay of another  gateways of its data centre
forwarded          data centre
rows, or their     gateway that polled     gateways of its data centre, relays of others
announcement       the store
the same,          first relay of another  gateways of its data centre
forwarded          data centre
replica notices,   every gateway           relays of its data centre
crash suspects
the same,          relays                  gateways of their data centre; relays of others
forwarded                                  if received from their own data centre
gateway leaving    every gateway           all gateways
=================  ======================  ==============================================

When every gateway sent to every other, 71 gateways sent 20,000 messages per second.
Inactive gateways are contacted at intervals only
(:meth:`limeshelf.membership.members.Members.addresses_to_contact`).
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from limeshelf.membership.relays import RELAYS_PER_CENTRE

if TYPE_CHECKING:
    from limeshelf.membership.member import Member
    from limeshelf.membership.members import Members

#: The first relay sends the sum to other data centres once in this many digests, which is every
#: 0.5 s. It sends the sum to the leader with every digest.
DIGESTS_PER_REMOTE_SUM = 2


def own_centre(members: Members) -> list[str]:
    """Return the addresses of the other gateways of this data centre."""
    return members.addresses_to_contact(members.in_own_centre())


def other_centre_relays(members: Members) -> set[str]:
    """Return the addresses of the relays of all other data centres.

    For a data centre without any relay, because all its gateways timed out, the first gateways by
    rank are contacted, and a random one in case those no longer exist. Otherwise two data centres
    separated by a network partition would never send each other a message again: after a
    partition of 7 s they were still separated 28 s later
    (tests/membership/test_reconnection_after_partition.py).
    """
    addresses: set[str] = set()
    for centre in members.other_centres():
        contacts = members.relays(centre) or _retry_contacts(members, centre)
        addresses.update(members.addresses_to_contact(contacts))
    return addresses


def _retry_contacts(members: Members, centre: str) -> list[Member]:
    ranked = members.ranked(centre)
    return [*ranked[:RELAYS_PER_CENTRE], random.choice(ranked)]


def of_bundle(members: Members, leader: str | None, digest_count: int) -> list[str]:
    """Return the addresses to which the first relay sends the sum of its data centre's digests.

    :param leader: address of the leader; ``None`` if it is unknown or is this gateway.
    :param digest_count: number of digests that this gateway has sent since its start.
    """
    addresses = {leader} if leader is not None else set()
    if digest_count % DIGESTS_PER_REMOTE_SUM == 0:
        addresses |= other_centre_relays(members)
    return sorted(addresses)


def of_states(members: Members) -> list[str]:
    """Return the addresses to which the leader sends the states of replicas."""
    return sorted({*own_centre(members), *other_centre_relays(members)})


def of_rows(members: Members) -> list[str]:
    """Return the addresses to which a gateway sends the rows that it polled from the store."""
    return of_states(members)


def of_forwarded(members: Members, sender_centre: str) -> list[str]:
    """Return the addresses to which this gateway forwards replica states or rows.

    :param sender_centre: data centre of the gateway from which they were received.
    """
    if sender_centre == members.own.data_centre or not members.is_first_relay:
        return []
    return own_centre(members)

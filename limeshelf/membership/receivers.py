"""Decides which gateways are sent what, so that few messages reach everybody.

=================  ======================  ==============================================
message            sender                  receivers
=================  ======================  ==============================================
digest             every gateway           relays of its data centre
summary            every relay             gateways of its data centre
sum of digests     first relay             the leader and relays of other data centres
replica states     leader                  gateways of its data centre, relays of others
the same, passed   first relay of another  gateways of its data centre
on                 data centre
rows               who asked the store     gateways of its data centre, relays of others
the same, passed   first relay of another  gateways of its data centre
on                 data centre
what replicas ask  every gateway           relays of its data centre
for
the same, passed   relays                  gateways of their data centre, relays of others
on                                         if it comes from their own
leaving            every gateway           all gateways
=================  ======================  ==============================================

With every gateway sending to every other, 71 of them sent 20,000 messages a second.
Owns nothing; relies on :class:`~limeshelf.membership.members.Members`
for who is a relay, and for leaving out who is silent.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from limeshelf.membership.relays import RELAYS_PER_CENTRE

if TYPE_CHECKING:
    from limeshelf.membership.member import Member
    from limeshelf.membership.members import Members

#: Sums go to other data centres with every so many digests of the first relay: each 0.5 s. The
#: leader gets each.
DIGESTS_PER_REMOTE_SUM = 2


def own_centre(members: Members) -> list[str]:
    """Return the addresses of the other gateways of this data centre."""
    return members.addresses_to_contact(members.in_own_centre())


def other_centre_relays(members: Members) -> set[str]:
    """Return the addresses of the relays of all other data centres.

    Of one that is silent as a whole, its first gateways by rank are tried, and another by
    chance in case that these are gone. Otherwise two data centres that a cut separated would
    send each other nothing any more: after a cut of 7 s they were apart until the end of a
    play, 28 s later (tests/membership/test_isolation_after_cut.py).
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
    """Return who is sent the sum of this data centre's digests by its first relay.

    :param leader: address of the leader; ``None`` if none is known or we lead.
    :param digest_count: digests that this gateway has sent since its start.
    """
    addresses = {leader} if leader is not None else set()
    if digest_count % DIGESTS_PER_REMOTE_SUM == 0:
        addresses |= other_centre_relays(members)
    return sorted(addresses)


def of_states(members: Members) -> list[str]:
    """Return who is sent the states of replicas by the leader."""
    return sorted({*own_centre(members), *other_centre_relays(members)})


def of_rows(members: Members) -> list[str]:
    """Return who is sent rows by the gateway that asked the store."""
    return of_states(members)


def of_forwarded(members: Members, sender_centre: str) -> list[str]:
    """Return whom this gateway passes states of replicas, or rows, on to.

    :param sender_centre: data centre of the leader, or of who asked the store.
    """
    if sender_centre == members.own.data_centre or not members.is_first_relay:
        return []
    return own_centre(members)

"""Decides whether this gateway tries to take the lease.

Relays come first: they notice a lost leader first, and few contenders keep the calls to
the store few. Decides only; :class:`limeshelf.membership.leader.LeaderView` applies it.
"""

from __future__ import annotations

#: A gateway that is no relay contends only after nobody has led for this long, in seconds.
#: Chosen, not measured.
CONTEND_AFTER_S = 1.5


def may_contend(*, leader_is_active: bool, is_relay: bool, leaderless_s: float) -> bool:
    """Return whether to try to take the lease now.

    :param leader_is_active: whether another gateway claimed lately to lead.
    :param is_relay: whether this gateway is a relay of its data centre.
    :param leaderless_s: time since this gateway last saw that another one leads.
    """
    if leader_is_active:
        return False
    return is_relay or leaderless_s > CONTEND_AFTER_S

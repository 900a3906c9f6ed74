"""Decides whether this gateway tries to take the lease.

The first relays of the data centres come first: they notice a lost leader first, few contenders
keep the calls to the store few, and the second relays grant calls, which must not wait while a
leader plans. Decides only; :class:`limeshelf.membership.leader.LeaderView` applies it.
"""

from __future__ import annotations

#: A gateway that is no first relay contends only after nobody has led for this long, in
#: seconds.
CONTEND_AFTER_S = 1.5


def may_contend(*, leader_is_active: bool, is_first_relay: bool, leaderless_s: float) -> bool:
    """Return whether to try to take the lease now.

    :param leader_is_active: whether another gateway claimed lately to lead.
    :param is_first_relay: whether this gateway is the first relay of its data centre.
    :param leaderless_s: time since this gateway last saw that another one leads.
    """
    if leader_is_active:
        return False
    return is_first_relay or leaderless_s > CONTEND_AFTER_S

"""Decides whether this gateway tries to acquire the leader's lease.

The first relays of the data centres try first. They are the first to detect the loss of a leader,
and few contenders mean few calls to the store. The second relays do not, because they are
dispatchers, whose grants must not be delayed by the planning of a leader.

:class:`limeshelf.membership.leader.LeaderView` applies the decision.
"""

from __future__ import annotations

#: A gateway that is not a first relay contends only after there was no leader for this long.
CONTEND_AFTER_S = 1.5


def may_contend(*, leader_is_active: bool, is_first_relay: bool, leaderless_s: float) -> bool:
    """Return whether to try to acquire the lease now.

    :param leader_is_active: whether there is an active leader that may send orders.
    :param is_first_relay: whether this gateway is the first relay of its data centre.
    :param leaderless_s: time since this gateway last saw such a leader.
    """
    if leader_is_active:
        return False
    return is_first_relay or leaderless_s > CONTEND_AFTER_S

"""Divides the time within which a change in the store must reach every gateway among its steps.

A gateway uses a change in time if the steps below add up to no more than that time, the limit.
It counts from the store's acknowledgement, which may follow a confirmation of the copies at once:

1. The copy counts as confirmed for :attr:`ChangeBudget.stale_after_s`, during which the gateway
   relies on updates from peers. Their age may be stated too low by
   :data:`CONFIRMATION_TOLERANCE_S`.
2. The gateway gives others that poll the store before it up to
   :attr:`ChangeBudget.polling_delay_s` to send their rows.
3. It polls the store, and its rows reach the gateways that are not due yet through a relay. For
   this, :attr:`ChangeBudget.delivery_s` remains.

The delays of one polling gateway between its calls are shares of the same limit, so that its
updates arrive before the copies of the others are stale.
"""

from __future__ import annotations

import attrs

from limeshelf.feeds.follow_rule import FollowRule

#: Age of the last confirmation beyond which a copy is stale, as a share of the limit.
STALE_SHARE = 0.5
#: Longest delay of a gateway for those before it in the polling order, as a share of the limit.
POLLING_DELAY_SHARE = 0.15
#: Longest time for which the store may hold a call for changes of the configuration, as a share.
CONFIG_WAIT_SHARE = 0.33
#: The same for the replicas. Their rows change all the time, so after a change the next call is
#: delayed by another share to batch further changes; both together are shorter than the time
#: after which a copy is stale.
REPLICA_WAIT_SHARE = 0.27
REPLICA_BATCH_DELAY_SHARE = 0.14
#: Longest additional pause after a failed call of a gateway that is not a relay, as a share of the
#: limit. While the store is unavailable, calls from hundreds of gateways reveal no more than calls
#: from the relays. A gateway that reaches it again must know of changes soon after.
RETRY_SPREAD_SHARE = 0.75
#: Age of a configuration, as a share of the limit, beyond which it may lack a change that the
#: gateway should know.
CURRENT_SHARE = 0.7
#: If the store's clock shows that an update is older than its sender states by more than this, the
#: update was delayed in transit, and the age by the store's clock counts. Smaller differences lie
#: within the accuracy to which the two clocks are known.
CONFIRMATION_TOLERANCE_S = 0.25


@attrs.frozen
class ChangeBudget:
    """The steps of a change on its way to the gateways.

    :param limit_s: time from the store's acknowledgement of a change until every gateway that
        reaches the store or a gateway that does must use it, in seconds.
    """

    limit_s: float

    @property
    def stale_after_s(self) -> float:
        """Return the age of the last confirmation beyond which a copy is stale, in seconds."""
        return STALE_SHARE * self.limit_s

    @property
    def polling_delay_s(self) -> float:
        """Return how long a gateway waits at most for those that poll before it, in seconds."""
        return POLLING_DELAY_SHARE * self.limit_s

    @property
    def retry_spread_s(self) -> float:
        """Return the longest additional pause after a failed call of a non-relay, in seconds."""
        return RETRY_SPREAD_SHARE * self.limit_s

    @property
    def delivery_s(self) -> float:
        """Return the time that remains to poll the store and pass the rows on, in seconds."""
        waits_s = self.stale_after_s + CONFIRMATION_TOLERANCE_S + self.polling_delay_s
        return self.limit_s - waits_s

    @property
    def current_for_s(self) -> float:
        """Return the age up to which a configuration counts as current, in seconds."""
        return CURRENT_SHARE * self.limit_s

    def config_rule(self) -> FollowRule:
        """Return how the table of the configuration is followed."""
        return FollowRule(
            wait_s=CONFIG_WAIT_SHARE * self.limit_s, stale_after_s=self.stale_after_s
        )

    def replica_rule(self) -> FollowRule:
        """Return how the table of replicas is followed."""
        return FollowRule(
            wait_s=REPLICA_WAIT_SHARE * self.limit_s,
            batch_delay_s=REPLICA_BATCH_DELAY_SHARE * self.limit_s,
            stale_after_s=self.stale_after_s,
        )

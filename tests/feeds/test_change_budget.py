"""The steps of a change on its way to every gateway add up to no more than it may take."""

from __future__ import annotations

import pytest

from limeshelf.feeds.change_budget import CONFIRMATION_TOLERANCE_S, ChangeBudget
from limeshelf.feeds.store_backoff import RETRY_LIMIT_S
from limeshelf.membership.store_polling import PollingDelays, overdue_limit_s, retry_spread_s

#: Limits of users' deployments, for the configuration and for replicas, in seconds.
LIMITS_S = (2.0, 3.0, 4.0, 18.0)
#: Share of the limit for the call to the store and for two messages, on busy machines too.
DELIVERY_SHARE = 0.2
LAST_OF_THE_ORDER = 1000


@pytest.mark.parametrize('limit_s', LIMITS_S)
def test_waits_of_the_last_gateway_leave_time_to_deliver_a_change(limit_s: float) -> None:
    budget = ChangeBudget(limit_s)
    waits_s = [
        budget.config_rule().stale_after_s,
        CONFIRMATION_TOLERANCE_S,
        overdue_limit_s(LAST_OF_THE_ORDER, PollingDelays.from_budget(budget)),
    ]
    assert sum(waits_s) <= (1.0 - DELIVERY_SHARE) * limit_s
    assert budget.delivery_s == pytest.approx(limit_s - sum(waits_s))
    assert budget.replica_rule().stale_after_s == budget.config_rule().stale_after_s


@pytest.mark.parametrize(('limit_s', 'contact_s'), [(2.0, 3.0), (3.0, 4.0)])
def test_gateway_that_reaches_the_store_again_polls_before_it_counts_as_in_touch(
    limit_s: float, contact_s: float
) -> None:
    delays = PollingDelays.from_budget(ChangeBudget(limit_s))
    pause_s = RETRY_LIMIT_S + retry_spread_s(LAST_OF_THE_ORDER, 3, delays)
    assert pause_s <= contact_s - DELIVERY_SHARE * limit_s


@pytest.mark.parametrize('limit_s', LIMITS_S)
def test_a_sound_polling_gateway_confirms_copies_before_they_are_stale(limit_s: float) -> None:
    for rule in (ChangeBudget(limit_s).config_rule(), ChangeBudget(limit_s).replica_rule()):
        assert rule.wait_s + rule.batch_delay_s < 0.85 * rule.stale_after_s

"""Computes the quotas of a usage limit: for a data centre, and for a gateway without a limiter.

All gateways together stay within the limit in any window, whether or not they can reach one
another. Each data centre therefore has a fixed quota, which remains its own when it is cut off.
Holds no state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.organisations.organisation import UsageLimit

#: Share of the tolerated usage that is given out as quotas. The rest covers runs that began
#: before a gateway received a lowered limit or the latest grants of other gateways.
USED_SHARE = 0.95
#: Share of a data centre's quota that its gateways may use without asking the limiter, divided
#: equally among them. The limiter counts at least that much for each gateway, so a larger share
#: refuses more calls: of the 1,600-token calls within the limit of an organisation that uses
#: 5,000 tokens a second, 0.015 were refused with 0.1, 0.026 with 0.2 and 0.009 with 0.05
#: (tests/organisations/test_limit_methods.py).
OWN_SHARE = 0.1


@attrs.frozen
class LimitRule:
    """How far a limit may be exceeded, from the settings.

    The tolerance is used so that data centres that receive unequal shares of an organisation's
    calls still serve all calls below the limit. With three data centres, one of which receives
    0.37 of the calls, equal parts of the limit itself would serve only 0.9 of it.

    :param window_s: length of the window in which usage is counted, in seconds.
    :param overrun: share by which a limit may be exceeded, 0 or more.
    :param slack: further units by which it may be exceeded in each window.
    :param centres: number of data centres with gateways.
    """

    window_s: float
    overrun: float
    slack: float
    centres: int

    def centre_quota(self, limit: UsageLimit) -> float:
        """Return the units of a limit that a data centre may use in any window."""
        allowed = limit.per_s * self.window_s + limit.burst
        tolerated = allowed * (1 + self.overrun) + self.slack
        return USED_SHARE * tolerated / max(1, self.centres)

    def centre_rate_per_s(self, limit: UsageLimit) -> float:
        """Return the sustained rate at which a data centre may use a limit, in units a second."""
        return USED_SHARE * limit.per_s * (1 + self.overrun) / max(1, self.centres)

    def centre_burst(self, limit: UsageLimit) -> float:
        """Return the units that a data centre may use at once beyond the sustained rate."""
        return self.centre_quota(limit) - self.window_s * self.centre_rate_per_s(limit)

    def gateway_quota(
        self, limit: UsageLimit, gateways: int, age_s: float = float('inf')
    ) -> float:
        """Return the units that a gateway may use in any window without asking the limiter.

        :param gateways: number of gateways in its data centre.
        :param age_s: age of its process, in seconds. A young process gets less, because its
            predecessor may have used the quota in the same window.
        """
        known_share = min(1.0, age_s / self.window_s)
        return known_share * OWN_SHARE * self.centre_quota(limit) / max(1, gateways)

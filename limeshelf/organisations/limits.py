"""How much of an organisation's limit a data centre may use, and a gateway by itself.

All gateways together are bound in any window, whether they hear one another or not. So each
data centre has a fixed part, and one that is cut off goes on with its own. Decides only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.organisations.organisation import UsageLimit

#: Share of what is tolerated that is used. The rest covers runs that began before a gateway
#: learned of a lower limit or of what others granted meanwhile.
USED_SHARE = 0.95
#: Share of a data centre's part that its gateways may use without the limiter, each an equal
#: part of it. The limiter counts each for that much at least, so the rest has less: of calls of
#: 1,600 tokens that an organisation of 5,000 a second was owed, 0.015 were refused; with 0.2,
#: 0.026; with 0.05, 0.009 (tests/organisations/test_limit_ways.py).
OWN_SHARE = 0.1


@attrs.frozen
class LimitRule:
    """What of a limit is tolerated, from the settings.

    A limit may be exceeded by the tolerance; it is used so that data centres that get unlike
    shares of an organisation's calls still serve all that lies below the limit. With three, of
    which one gets 0.37 of the calls, equal parts of the limit itself would serve 0.9 of it.

    :param window_s: in which usage is counted, in seconds.
    :param overrun: share by which a limit may be exceeded, 0 or more.
    :param slack: units beyond that, in each window.
    :param centres: data centres with gateways.
    """

    window_s: float
    overrun: float
    slack: float
    centres: int

    def of_centre(self, limit: UsageLimit) -> float:
        """Return what a data centre may use of a limit in any window."""
        allowed = limit.per_s * self.window_s + limit.burst
        tolerated = allowed * (1 + self.overrun) + self.slack
        return USED_SHARE * tolerated / max(1, self.centres)

    def pace_per_s(self, limit: UsageLimit) -> float:
        """Return what a data centre may use a second in the long run."""
        return USED_SHARE * limit.per_s * (1 + self.overrun) / max(1, self.centres)

    def pace_burst(self, limit: UsageLimit) -> float:
        """Return what a data centre may use beyond that, once."""
        return self.of_centre(limit) - self.window_s * self.pace_per_s(limit)

    def of_gateway(self, limit: UsageLimit, gateways: int, age_s: float = float('inf')) -> float:
        """Return what a gateway may use in any window without asking the limiter.

        :param gateways: of its data centre.
        :param age_s: of its process, in seconds: one before it may have used the part.
        """
        known_share = min(1.0, age_s / self.window_s)
        return known_share * OWN_SHARE * self.of_centre(limit) / max(1, gateways)

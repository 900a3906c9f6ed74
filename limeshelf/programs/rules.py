"""Rules of the product that follow from the settings; stateless.

Those that may change while the program runs are read again after each change of the settings.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.admission.retry_budget import RetryRule
from limeshelf.organisations.access import AccessRule
from limeshelf.organisations.limits import LimitRule

if TYPE_CHECKING:
    from limeshelf.settings.gateway import GatewaySettings


def retry_rule(settings: GatewaySettings) -> RetryRule:
    """Return the limit on retries of all gateways together from the settings."""
    retries = settings.retries
    return RetryRule(retries.ratio, retries.slack, retries.window_s)


def access_rule(settings: GatewaySettings) -> AccessRule:
    """Return the time limit for the revocation of keys from the settings."""
    return AccessRule(settings.organisations.revoked_within_s)


def limit_rule(settings: GatewaySettings) -> LimitRule:
    """Return the tolerance for exceeding the limits of organisations from the settings."""
    organisations = settings.organisations
    return LimitRule(
        organisations.limit_window_s,
        organisations.limit_overrun,
        organisations.limit_slack,
        len({*settings.data_centres, settings.data_centre}),
    )

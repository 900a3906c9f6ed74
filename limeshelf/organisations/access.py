"""Checks whether a call may begin, by its key and by the age of the configuration.

A key is revoked by a newer configuration, which a gateway that is cut off does not receive. A
key is therefore valid only for a limited time after the store last confirmed that there was no
newer configuration; the confirmation may come from the store or from another gateway that
forwarded it. A call that begins thus carries a key that was valid less than
:attr:`AccessRule.revoked_within_s` ago. The check runs before a call is accepted and again
before each send, because keys can be revoked while calls wait.

Holds no state. The age comes from :class:`limeshelf.feeds.store_clock.StoreClock`, which never
understates it.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.organisations.organisation import KeyDigest, Organisation, Organisations

#: Share of the allowed revocation time held in reserve for the delay between the check and the
#: arrival at the replica, and for clocks that run at different speeds.
MARGIN_SHARE = 0.1


class Denial(enum.Enum):
    """Why a call may not begin.

    ``UNKNOWN_KEY``: the call carries no key, or one that belongs to no organisation.
    ``CONFIG_TOO_OLD``: a newer configuration may have revoked or added the key.
    """

    UNKNOWN_KEY = 'unknown_key'
    CONFIG_TOO_OLD = 'config_too_old'


@attrs.frozen
class AccessGranted:
    """The call may begin.

    :param organisation: owner of the call's key; ``None`` if the call needs no key and carries
        none that is known.
    """

    organisation: Organisation | None


@attrs.frozen
class AccessRule:
    """The time after which a revoked key must no longer be accepted.

    :param revoked_within_s: in seconds; ``None`` if a gateway may accept the keys it knows
        indefinitely.
    """

    revoked_within_s: float | None = None

    @property
    def max_age_s(self) -> float:
        """Return the age up to which a configuration is valid for access checks, in seconds."""
        if self.revoked_within_s is None:
            return float('inf')
        return self.revoked_within_s * (1 - MARGIN_SHARE)


def check_access(
    organisations: Organisations | None,
    key: KeyDigest | None,
    *,
    is_public: bool,
    config_age_s: float,
    rule: AccessRule,
) -> AccessGranted | Denial:
    """Return whether a call may begin now.

    :param organisations: of the configuration in force; ``None`` if it requires no keys.
    :param key: digest of the call's key; ``None`` if the key is missing or malformed.
    :param is_public: whether the call's route needs no key.
    :param config_age_s: time since the configuration was last known to be the newest, in seconds.
    """
    if organisations is None:
        return AccessGranted(None)
    organisation = organisations.holder_of(key)
    if is_public:
        return AccessGranted(organisation)
    if config_age_s > rule.max_age_s:
        # This includes unknown keys: a newer configuration may have added them.
        return Denial.CONFIG_TOO_OLD
    if organisation is None:
        return Denial.UNKNOWN_KEY
    return AccessGranted(organisation)

"""Whether a call may begin, by its key and by the age of the configuration.

The configuration is a lease on its keys. A key is taken away by a newer configuration, which
a gateway that is cut off does not see; so a key counts only as long as the store has
confirmed, to this gateway or to one that passed it on, that there was no newer configuration.
Then every call that begins carries a key that was there less than
:attr:`AccessRule.revoked_within_s` ago. The rule is asked before a call is accepted and again
before each send, because keys go while calls wait.

Decides only. The age comes from :class:`limeshelf.feeds.store_clock.StoreClock`, which never
understates it.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.organisations.organisation import KeyDigest, Organisation, Organisations

#: Part of the time within which a key must be out of use that is kept back: for the way from
#: the check to the replica, and for clocks that run at unlike speeds.
MARGIN_SHARE = 0.1


class Denial(enum.Enum):
    """Why a call may not begin.

    ``UNKNOWN_KEY``: no organisation holds its key, or it carries none.
    ``CONFIG_TOO_OLD``: the key may have been taken away, or given, by a newer configuration.
    """

    UNKNOWN_KEY = 'unknown_key'
    CONFIG_TOO_OLD = 'config_too_old'


@attrs.frozen
class AccessGranted:
    """The call may begin.

    :param organisation: that holds its key; ``None`` where it needs none and carries none.
    """

    organisation: Organisation | None


@attrs.frozen
class AccessRule:
    """How soon a key that was taken away must be out of use.

    :param revoked_within_s: ``None`` where a gateway may go on with the keys it knows.
    """

    revoked_within_s: float | None = None

    @property
    def max_age_s(self) -> float:
        """Return the age up to which a configuration says who holds a key, in seconds."""
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

    :param organisations: of the configuration in force; ``None`` where it asks for no keys.
    :param key: that the call carries; ``None`` for none, or a malformed one.
    :param is_public: whether the call's route needs no key.
    :param config_age_s: time since the configuration surely was the newest, in seconds.
    """
    if organisations is None:
        return AccessGranted(None)
    organisation = organisations.holder_of(key)
    if is_public:
        return AccessGranted(organisation)
    if config_age_s > rule.max_age_s:
        # Also for a key that is not known: a newer configuration may hold it.
        return Denial.CONFIG_TOO_OLD
    if organisation is None:
        return Denial.UNKNOWN_KEY
    return AccessGranted(organisation)

"""Decides when a gateway counts as silent, and whether it is still sent messages.

Owns the limits of silence. Decides only; the times are kept by
:class:`limeshelf.membership.member.Member`.
"""

from __future__ import annotations

import enum

#: A gateway without a message for this long counts no more and is not relied on; ten digests
#: long.
INACTIVE_AFTER_S = 2.5
#: A silent gateway is sent a message again this often, in seconds, so that it is found when it
#: is back.
INACTIVE_RETRY_INTERVAL_S = 2.0


class Contact(enum.Enum):
    """Whether a gateway is sent a message now."""

    ACTIVE = 'active'
    RETRY = 'retry'
    SKIP = 'skip'


def is_active(age_s: float) -> bool:
    """Return whether a gateway counts whose last message came *age_s* seconds ago."""
    return age_s < INACTIVE_AFTER_S


def choose_contact(since_message_s: float, since_retry_s: float) -> Contact:
    """Decide whether to send to a gateway.

    :param silent_s: for how long a message of it has been due, in seconds.
    :param since_retry_s: time since it was last sent something while silent.
    """
    if since_message_s <= INACTIVE_AFTER_S:
        return Contact.ACTIVE
    return Contact.SKIP if since_retry_s < INACTIVE_RETRY_INTERVAL_S else Contact.RETRY

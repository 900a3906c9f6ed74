"""Decides whether a gateway counts as active, and whether to send it messages.

Owns the time limits. :class:`limeshelf.membership.member.Member` keeps the times they apply to.
"""

from __future__ import annotations

import enum

#: A gateway from which no message was received for this long is inactive: it is not counted and
#: not relied on. Ten digest intervals.
INACTIVE_AFTER_S = 2.5
#: Interval between messages to an inactive gateway; they detect that it is reachable again.
INACTIVE_RETRY_INTERVAL_S = 2.0


class Contact(enum.Enum):
    """Whether to send a message to a gateway now, and why."""

    ACTIVE = 'active'
    RETRY = 'retry'
    SKIP = 'skip'


def is_active(age_s: float) -> bool:
    """Return whether a gateway is active if its last message is *age_s* seconds old."""
    return age_s < INACTIVE_AFTER_S


def choose_contact(since_message_s: float, since_retry_s: float) -> Contact:
    """Decide whether to send a message to a gateway.

    :param since_message_s: time since its last message.
    :param since_retry_s: time since a message was last sent to it while it was inactive.
    """
    if since_message_s <= INACTIVE_AFTER_S:
        return Contact.ACTIVE
    return Contact.SKIP if since_retry_s < INACTIVE_RETRY_INTERVAL_S else Contact.RETRY

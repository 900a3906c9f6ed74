"""When a gateway is inactive, and how often it is still sent messages."""

from __future__ import annotations

import pytest

from limeshelf.membership.liveness import (
    INACTIVE_AFTER_S,
    INACTIVE_RETRY_INTERVAL_S,
    Contact,
    choose_contact,
    is_active,
)


@pytest.mark.parametrize(
    ('since_message_s', 'since_retry_s', 'contact'),
    [
        (0.0, 0.0, Contact.ACTIVE),
        (INACTIVE_AFTER_S, 0.0, Contact.ACTIVE),
        (INACTIVE_AFTER_S + 0.1, INACTIVE_RETRY_INTERVAL_S - 0.1, Contact.SKIP),
        (INACTIVE_AFTER_S + 0.1, INACTIVE_RETRY_INTERVAL_S, Contact.RETRY),
    ],
)
def test_inactive_gateways_are_contacted_at_the_retry_interval(
    since_message_s: float, since_retry_s: float, contact: Contact
) -> None:
    assert choose_contact(since_message_s, since_retry_s) is contact


def test_gateway_is_active_until_the_time_limit() -> None:
    assert is_active(INACTIVE_AFTER_S - 0.1)
    assert not is_active(INACTIVE_AFTER_S)

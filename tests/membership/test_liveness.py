"""When a gateway counts as silent, and is sent messages all the same."""

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
    ('silent_s', 'since_retry_s', 'contact'),
    [
        (0.0, 0.0, Contact.ACTIVE),
        (INACTIVE_AFTER_S, 0.0, Contact.ACTIVE),
        (INACTIVE_AFTER_S + 0.1, INACTIVE_RETRY_INTERVAL_S - 0.1, Contact.SKIP),
        (INACTIVE_AFTER_S + 0.1, INACTIVE_RETRY_INTERVAL_S, Contact.RETRY),
    ],
)
def test_silent_gateways_are_sent_little(
    silent_s: float, since_retry_s: float, contact: Contact
) -> None:
    assert choose_contact(silent_s, since_retry_s) is contact


def test_gateway_counts_until_it_is_silent() -> None:
    assert is_active(INACTIVE_AFTER_S - 0.1)
    assert not is_active(INACTIVE_AFTER_S)

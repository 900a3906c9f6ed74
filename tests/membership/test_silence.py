"""When a gateway counts as silent, and is sent messages all the same."""

from __future__ import annotations

import pytest

from limeshelf.membership.silence import RETRY_SILENT_S, SILENT_S, Contact, contact_of, is_active


@pytest.mark.parametrize(
    ('silent_s', 'since_retry_s', 'contact'),
    [
        (0.0, 0.0, Contact.ACTIVE),
        (SILENT_S, 0.0, Contact.ACTIVE),
        (SILENT_S + 0.1, RETRY_SILENT_S - 0.1, Contact.SKIP),
        (SILENT_S + 0.1, RETRY_SILENT_S, Contact.RETRY),
    ],
)
def test_silent_gateways_are_sent_little(
    silent_s: float, since_retry_s: float, contact: Contact
) -> None:
    assert contact_of(silent_s, since_retry_s) is contact


def test_gateway_counts_until_it_is_silent() -> None:
    assert is_active(SILENT_S - 0.1)
    assert not is_active(SILENT_S)

"""Which changes to a call keep its fingerprint, and which change it."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from limeshelf.calls.call import Call, ModelNeed
from limeshelf.calls.fingerprint import fingerprint_of
from limeshelf.organisations.organisation import digest_of

NEED = ModelNeed('m', '', 100, 50, 20, ())
CALL = Call('id-1', 'POST', 'h.example', '/p/x?q=1', (), b'body', 1.0, 2.0, NEED, None)


@pytest.mark.parametrize(
    'change',
    [
        {'call_id': 'id-2'},
        {'arrived_s': 9.0},
        {'caller_timeout_s': 0.5},
        {'last_event_id': '7'},
        {'headers': (('User-Agent', 'another'),)},
        {'host': 'H.example'},
    ],
)
def test_retry_has_the_same_fingerprint(change: dict[str, Any]) -> None:
    assert fingerprint_of(attrs.evolve(CALL, **change)) == fingerprint_of(CALL)


@pytest.mark.parametrize(
    'change',
    [
        {'method': 'PUT'},
        {'host': 'i.example'},
        {'target': '/p/x?q=2'},
        {'body': b'bod'},
        {'key': digest_of('secret')},
        {'model_need': attrs.evolve(NEED, adapter='a1')},
        {'model_need': None},
        {'target': '/p/x?q=1m', 'model_need': None},
    ],
)
def test_other_content_or_caller_has_another_fingerprint(change: dict[str, Any]) -> None:
    assert fingerprint_of(attrs.evolve(CALL, **change)) != fingerprint_of(CALL)

"""What makes two calls the same, and what does not."""

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
        {'budget_s': 0.5},
        {'last_event_id': '7'},
        {'headers': (('User-Agent', 'another'),)},
        {'host': 'H.example'},
    ],
)
def test_next_try_of_a_call_is_the_same(change: dict[str, Any]) -> None:
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
def test_another_content_or_caller_is_another(change: dict[str, Any]) -> None:
    assert fingerprint_of(attrs.evolve(CALL, **change)) != fingerprint_of(CALL)

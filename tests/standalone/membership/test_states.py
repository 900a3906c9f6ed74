"""Unit tests of the parts of an upstream's state that are sent to the peers."""

from __future__ import annotations

import attrs

from limeshelf.standalone.membership.states import ITEMS_REFRESH_S, MAX_SEND_GAP_S, SentStates
from limeshelf.standalone.messages import UpstreamState

STATE = UpstreamState('u', 'b', 1, True, False, 4, ['m@1'])
AT_S = 100.0


def after_first() -> SentStates:
    sent = SentStates()
    assert sent.shorten(STATE, AT_S) == STATE
    return sent


def test_unchanged_state_is_not_sent_again_at_once() -> None:
    later = attrs.evolve(STATE, sequence=2, running=7)
    assert after_first().shorten(later, AT_S + 0.5) is None


def test_unchanged_state_is_sent_without_its_items_after_the_gap() -> None:
    at_s = AT_S + MAX_SEND_GAP_S
    assert after_first().shorten(STATE, at_s) == attrs.evolve(STATE, ready_items=None)


def test_change_is_sent_at_once_without_the_items() -> None:
    for change in ({'running': 8}, {'leaving': True}, {'reachable': False}, {'boot_id': 'c'}):
        changed = attrs.evolve(STATE, **change)
        assert after_first().shorten(changed, AT_S) == attrs.evolve(changed, ready_items=None)


def test_changed_items_are_sent_at_once() -> None:
    changed = attrs.evolve(STATE, ready_items=['m@1', 'n@1'])
    assert after_first().shorten(changed, AT_S) == changed


def test_items_are_sent_again_for_peers_that_missed_them() -> None:
    assert after_first().shorten(STATE, AT_S + ITEMS_REFRESH_S + 0.1) == STATE

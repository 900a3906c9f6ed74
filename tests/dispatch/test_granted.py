"""Granted requests are removed when they end, or when they expire."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from limeshelf.dispatch.granted import GRANT_GRACE_S, GrantedRequests


class Granted:
    def __init__(self, request_id: str, deadline_s: float) -> None:
        self.request_id = request_id
        self.deadline_s = deadline_s


@given(
    st.dictionaries(st.text(max_size=3), st.floats(0.0, 20.0)),
    st.sets(st.text(max_size=3)),
    st.lists(st.floats(0.0, 25.0)),
)
def test_each_is_removed_once(
    deadlines_s: dict[str, float], reported: set[str], checked_at_s: list[float]
) -> None:
    requests = GrantedRequests()
    for request_id, time_s in deadlines_s.items():
        request: Any = Granted(request_id, time_s)
        requests.add(request)
    removed = [
        request_id for request_id in sorted(reported) if requests.finish(request_id) is not None
    ]
    for now_s in sorted(checked_at_s):
        expired = requests.pop_expired(now_s)
        assert all(request.deadline_s + GRANT_GRACE_S < now_s for request in expired)
        removed += [request.request_id for request in expired]
    assert len(removed) == len(set(removed))
    last_s = max(checked_at_s, default=-1.0)
    left = {name for name in deadlines_s if requests.get(name) is not None}
    assert left == deadlines_s.keys() - set(removed)
    assert all(deadlines_s[name] + GRANT_GRACE_S >= last_s for name in left)

"""Granted requests are forgotten when they end, or when they must have ended."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from limeshelf.dispatch.granted import GRANT_SLACK_S, GrantedRequests


class Granted:
    def __init__(self, request_id: str, ends_s: float) -> None:
        self.request_id = request_id
        self.ends_s = ends_s


@given(
    st.dictionaries(st.text(max_size=3), st.floats(0.0, 20.0)),
    st.sets(st.text(max_size=3)),
    st.lists(st.floats(0.0, 25.0)),
)
def test_each_is_ended_once(
    ends_s: dict[str, float], reported: set[str], moments_s: list[float]
) -> None:
    kept = GrantedRequests()
    for request_id, end_s in ends_s.items():
        one: Any = Granted(request_id, end_s)
        kept.add(one)
    ended = [request_id for request_id in sorted(reported) if kept.end(request_id) is not None]
    for now_s in sorted(moments_s):
        overdue = kept.end_overdue(now_s)
        assert all(one.ends_s + GRANT_SLACK_S < now_s for one in overdue)
        ended += [one.request_id for one in overdue]
    assert len(ended) == len(set(ended))
    last_s = max(moments_s, default=-1.0)
    left = {one for one in ends_s if kept.get(one) is not None}
    assert left == ends_s.keys() - set(ended)
    assert all(ends_s[one] + GRANT_SLACK_S >= last_s for one in left)

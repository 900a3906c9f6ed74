"""A rate limit remains active until a response that was certainly sent later has none."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from limeshelf.replicas.backpressure import Backpressure


def test_no_rate_limit_before_the_first_response() -> None:
    assert Backpressure().rate_per_s is None


def test_rate_limit_remains_active_without_further_responses() -> None:
    backpressure = Backpressure()
    backpressure.rate.record(2.3, received_s=10.0)
    assert backpressure.rate_per_s == 2.3


def test_response_without_a_rate_ends_it_only_if_its_call_was_sent_later() -> None:
    backpressure = Backpressure()
    backpressure.rate.record(2.3, received_s=10.0)
    backpressure.rate.record_absent(sent_s=9.9)
    assert backpressure.rate_per_s == 2.3
    backpressure.rate.record_absent(sent_s=10.1)
    assert backpressure.rate_per_s is None


def test_rate_limit_is_set_again_after_it_ended() -> None:
    backpressure = Backpressure()
    backpressure.rate.record_absent(sent_s=10.0)
    backpressure.rate.record(0.3, received_s=11.0)
    assert backpressure.rate_per_s == 0.3


@given(
    st.lists(st.tuples(st.sampled_from([None, 0.3, 2.3]), st.integers(0, 20)), max_size=8),
    st.randoms(),
)
def test_order_of_arrival_does_not_matter(notices: list[tuple[float | None, int]], random) -> None:
    notices = [
        notice
        for index, notice in enumerate(notices)
        if notice[1] not in [at for _, at in notices[:index]]
    ]
    results = []
    for _ in range(2):
        backpressure = Backpressure()
        for rate_per_s, at in notices:
            if rate_per_s is None:
                backpressure.rate.record_absent(at)
            else:
                backpressure.rate.record(rate_per_s, at)
        results.append(backpressure.rate_per_s)
        random.shuffle(notices)
    assert results[0] == results[1]

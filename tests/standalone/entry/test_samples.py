"""Samples by policy: each policy of a request counts its outcome once."""

from __future__ import annotations

from limeshelf.standalone.config.document import Policy, PolicyKind, PriorityClass
from limeshelf.standalone.entry.samples import PolicySamples
from limeshelf.standalone.messages import PolicySample

ROUTING = Policy('r', PolicyKind.ROUTING, 'round-robin')
ADMISSION = Policy('a', PolicyKind.ADMISSION, 'always')


def test_sums_are_kept_for_each_policy_and_class() -> None:
    samples = PolicySamples()
    samples.note_first_token([ROUTING, ADMISSION], PriorityClass.HIGH, 0.5, met=True)
    samples.note_first_token([ROUTING], PriorityClass.HIGH, 2.0, met=False)
    samples.note_refused([ROUTING], PriorityClass.LOW)
    assert samples.samples() == [
        PolicySample('routing', 'r', 'high', 2, 1, 0, 2.5, 4.25),
        PolicySample('admission', 'a', 'high', 1, 1, 0, 0.5, 0.25),
        PolicySample('routing', 'r', 'low', 1, 0, 1, 0.0, 0.0),
    ]

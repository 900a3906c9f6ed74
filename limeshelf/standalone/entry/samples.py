"""Outcomes by policy, so that two policies can be held against each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.messages import PolicySample

if TYPE_CHECKING:
    from limeshelf.standalone.config.document import Policy, PriorityClass


@attrs.define
class _Sums:
    requests: int = 0
    ok: int = 0
    refused: int = 0
    seconds: float = 0.0
    squares: float = 0.0


class SampleBook:
    """Sums for each policy and class since the process started."""

    def __init__(self) -> None:
        self._sums: dict[tuple[str, str, str], _Sums] = {}

    def _get(self, policy: Policy, priority_class: PriorityClass) -> _Sums:
        key = (policy.kind.value, policy.name, priority_class.value)
        return self._sums.setdefault(key, _Sums())

    def note_refused(self, policies: list[Policy], priority_class: PriorityClass) -> None:
        """Count a refusal under each policy that took part."""
        for policy in policies:
            sums = self._get(policy, priority_class)
            sums.requests += 1
            sums.refused += 1

    def note_first_token(
        self,
        policies: list[Policy],
        priority_class: PriorityClass,
        seconds: float,
        met: bool,
    ) -> None:
        """Count a request whose first token came."""
        for policy in policies:
            sums = self._get(policy, priority_class)
            sums.requests += 1
            sums.ok += 1 if met else 0
            sums.seconds += seconds
            sums.squares += seconds * seconds

    def samples(self) -> list[PolicySample]:
        """Return all sums."""
        return [
            PolicySample(
                kind,
                policy,
                priority_class,
                sums.requests,
                sums.ok,
                sums.refused,
                sums.seconds,
                sums.squares,
            )
            for (kind, policy, priority_class), sums in self._sums.items()
        ]

"""Outcomes of requests by policy, so that two policies can be compared.

Owns the sums since the process started; the admin program asks for them.
"""

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
    first_token_s: float = 0.0
    first_token_s_squares: float = 0.0


class PolicySamples:
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
        first_token_s: float,
        met: bool,
    ) -> None:
        """Count a request whose first token came.

        :param met: whether it came within its target.
        """
        for policy in policies:
            sums = self._get(policy, priority_class)
            sums.requests += 1
            sums.ok += 1 if met else 0
            sums.first_token_s += first_token_s
            sums.first_token_s_squares += first_token_s * first_token_s

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
                sums.first_token_s,
                sums.first_token_s_squares,
            )
            for (kind, policy, priority_class), sums in self._sums.items()
        ]

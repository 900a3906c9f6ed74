"""Admission policies: which requests are refused at once.

Owns the registry of admission policies, and what each has learned. Relies on the
estimates of the best candidate; ``admission.decision`` applies a policy.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import attrs

from limeshelf.errors import NotRun, RefusalReason
from limeshelf.registry import Registry
from limeshelf.standalone.config.document import PriorityClass
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.standalone.config.document import Policy

#: Shortest time to come back that a policy names.
MIN_RETRY_AFTER_S = 1.0
#: Estimates allowed where the configuration names none, in first token targets: low work goes
#: first, high work last.
DEFAULT_LOW_SLACK_TARGETS = 0.6
DEFAULT_NORMAL_SLACK_TARGETS = 1.0
DEFAULT_HIGH_SLACK_TARGETS = 4.0
#: Share of the streams that work below the high class may take after a high miss, where the
#: configuration names none.
DEFAULT_LEAST_SHARE = 0.75
#: Growth of that share, where the configuration names none: from the least to all in 10
#: seconds.
DEFAULT_RAISE_SHARE_PER_S = 0.025


@attrs.frozen
class AdmissionQuestion:
    """What an admission policy knows of a request.

    :param estimate_s: estimated time to the first token.
    :param target_s: time to the first token that the deployment promises.
    :param remaining_s: time to the request's deadline.
    :param running: requests in work at the best replica.
    :param limit: requests that this instance may have in flight there.
    """

    priority_class: PriorityClass
    estimate_s: float
    target_s: float
    remaining_s: float
    running: float
    limit: int


@dataclass(frozen=True)
class Admitted:
    """The request goes on."""


AdmissionOutcome = Admitted | NotRun


class AdmissionPolicy(Protocol):
    """Admits or refuses."""

    @classmethod
    def from_config(cls, policy: Policy) -> AdmissionPolicy:
        """Build the policy with the numbers of *policy*."""
        ...

    def decide(self, question: AdmissionQuestion) -> AdmissionOutcome:
        """Return whether the request goes on, or the final answer."""
        ...

    def note_result(self, priority_class: PriorityClass, met: bool) -> None:
        """Learn whether an admitted request met its target."""
        ...


admission_policies: Registry[AdmissionPolicy] = Registry('admission policy')


def _overloaded(retry_after_s: float) -> NotRun:
    return NotRun(
        RefusalReason.OVERLOADED,
        max(MIN_RETRY_AFTER_S, retry_after_s),
        'the upstreams are too busy to meet the target',
    )


@admission_policies.register('always')
@attrs.define
class AdmitAll:
    """Refuse nothing."""

    @classmethod
    def from_config(cls, policy: Policy) -> AdmitAll:
        """Build the policy; it has no numbers."""
        return cls()

    def decide(self, question: AdmissionQuestion) -> AdmissionOutcome:
        """Admit."""
        return Admitted()

    def note_result(self, priority_class: PriorityClass, met: bool) -> None:
        """Learn nothing."""


@admission_policies.register('estimate')
@attrs.define
class AdmitByEstimate:
    """Refuse early what cannot meet its target, the lowest class first.

    A class is refused once the estimate exceeds its slack times the target.
    Early dropping by remaining time follows Strait, section 3.3.

    :param slack_targets: estimate allowed, in first token targets, by class.
    """

    slack_targets: dict[PriorityClass, float]

    @classmethod
    def from_config(cls, policy: Policy) -> AdmitByEstimate:
        """Build the policy; numbers ``low_slack``, ``normal_slack``, ``high_slack``."""
        return cls(
            {
                PriorityClass.LOW: policy.number('low_slack', DEFAULT_LOW_SLACK_TARGETS),
                PriorityClass.NORMAL: policy.number('normal_slack', DEFAULT_NORMAL_SLACK_TARGETS),
                PriorityClass.HIGH: policy.number('high_slack', DEFAULT_HIGH_SLACK_TARGETS),
            }
        )

    def decide(self, question: AdmissionQuestion) -> AdmissionOutcome:
        """Compare the estimate with target and deadline."""
        if question.estimate_s > question.remaining_s:
            return NotRun(
                RefusalReason.DEADLINE_TOO_SHORT,
                None,
                'the deadline is shorter than the estimated wait',
            )
        allowed_s = self.slack_targets[question.priority_class] * question.target_s
        if question.estimate_s > allowed_s:
            return _overloaded(question.estimate_s - allowed_s)
        return Admitted()

    def note_result(self, priority_class: PriorityClass, met: bool) -> None:
        """Learn nothing; the estimate itself is learned elsewhere."""


@admission_policies.register('low-class-cap')
@attrs.define
class CapLowClass:
    """Cap what is not high class; raise the cap slowly, cut it on a high miss.

    Additive increase and multiplicative decrease after Strait, appendix A.1:
    the share of the streams starts at *least_share*, grows by *raise_share_per_s*
    up to 1, and falls back when a high-class request misses its target.
    """

    least_share: float
    raise_share_per_s: float
    _share: float = 0.0
    _raised_s: float = attrs.field(factory=boottime_s)

    @classmethod
    def from_config(cls, policy: Policy) -> CapLowClass:
        """Build the policy; numbers ``least_ratio`` and ``raise_ratio``."""
        least_share = policy.number('least_ratio', DEFAULT_LEAST_SHARE)
        raise_share_per_s = policy.number('raise_ratio', DEFAULT_RAISE_SHARE_PER_S)
        return cls(least_share, raise_share_per_s, least_share)

    def decide(self, question: AdmissionQuestion) -> AdmissionOutcome:
        """Compare the load with the class's share of the limit."""
        now_s = boottime_s()
        self._share += (now_s - self._raised_s) * self.raise_share_per_s
        self._share = min(1.0, self._share)
        self._raised_s = now_s
        share = 1.0 if question.priority_class is PriorityClass.HIGH else self._share
        if question.running >= question.limit * share:
            return _overloaded(question.estimate_s)
        return Admitted()

    def note_result(self, priority_class: PriorityClass, met: bool) -> None:
        """Cut the share after a high-class miss."""
        if priority_class is PriorityClass.HIGH and not met:
            self._share = self.least_share

"""What gateways tell each other about a forwarded call, beside the call and its answer.

Field names are part of the wire format and must not change.
"""

from __future__ import annotations

import attrs

from limeshelf.errors import NotRun, OutcomeKind, RefusalReason


@attrs.frozen
class ForwardedCall:
    """What the forwarding gateway knows of a call beyond its request.

    :param service: service that the forwarding gateway drew for the call.
    :param key: digest of the caller's key in hexadecimal digits; ``None`` without a key.
    :param waited_ms: time since the call arrived at the forwarding gateway.
    :param caller_timeout_ms: time-out that the caller stated when the call arrived; ``None`` if it
        stated none.
    :param runs: number of replicas that ran the call or may have run it.
    :param excluded: ids of replicas that refused or failed the call, or at which its stream must
        not go on.
    :param version: software version at which its stream must go on; ``None`` for any.
    :param config_version: version of the configuration by which the service was drawn; 0 from a
        release that does not send it.
    """

    service: str
    key: str | None
    waited_ms: int
    caller_timeout_ms: int | None
    runs: int
    excluded: list[str]
    version: str | None = None
    config_version: int = 0


@attrs.frozen
class ForwardOutcome:
    """States that the answer is the receiving gateway's own, and not that of a replica.

    :param kind: whether the call may have run.
    :param reason: value of :class:`~limeshelf.errors.RefusalReason` if it did not run. One that is
        not known here comes from another release.
    :param retry_after_s: delay for a retry by the caller, in seconds.
    """

    kind: OutcomeKind
    reason: str = ''
    retry_after_s: float | None = None

    @classmethod
    def from_refusal(cls, refusal: NotRun) -> ForwardOutcome:
        """Return the outcome of a call that surely did not run."""
        return cls(OutcomeKind.NOT_RUN, refusal.reason, refusal.retry_after_s)

    def refusal(self) -> NotRun:
        """Return why the call did not run."""
        known = {reason.value: reason for reason in RefusalReason}
        reason = known.get(self.reason, RefusalReason.UPSTREAM_REFUSED)
        return NotRun(reason, self.retry_after_s)

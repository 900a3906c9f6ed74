"""Sends a caller the final answer of its call, and logs refusals and failures.

Stateless; :mod:`limeshelf.gateway.endings` decides how a call ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import OutcomeKind
from limeshelf.forwarding.messages import ForwardOutcome
from limeshelf.forwarding.wire import outcome_field
from limeshelf.gateway.call_log import log_failed, log_not_carried, log_refused
from limeshelf.gateway.endings import (
    STATUS_UNAUTHORISED,
    STATUS_UNAVAILABLE,
    AbortAnswer,
    Answered,
    ForwardAnswer,
    Refuse,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.active_config import ActiveConfig
    from limeshelf.calls.call import Call
    from limeshelf.calls.wire import CallWire
    from limeshelf.gateway.answer import Answer
    from limeshelf.gateway.endings import Ending
    from limeshelf.organisations.organisation import Organisation


@attrs.frozen
class FinalAnswerSender:
    """Sends final answers.

    :param config_age_s: returns for how long the configuration may have been outdated, in seconds.
    """

    wire: CallWire
    active_config: ActiveConfig
    config_age_s: Callable[[], float]

    async def send(
        self,
        call: Call,
        ending: Ending,
        answer: Answer,
        organisation: Organisation | None = None,
    ) -> None:
        """Send the caller the final answer, unless an attempt has sent it already.

        :param organisation: holder of the call's key; ``None`` where not known.
        """
        if isinstance(ending, Answered):
            return
        if isinstance(ending, AbortAnswer):
            log_failed(call, 0, self._version)
            answer.abort()
        elif isinstance(ending, ForwardAnswer):
            replica_answer = ending.answer
            await answer.send_whole(
                replica_answer.head.status, replica_answer.head.headers, replica_answer.body
            )
        elif isinstance(ending, Refuse):
            await self._send_refusal(call, ending, answer, organisation)
        else:
            log_failed(call, ending.status, self._version)
            await self._send_failure(call, ending.status, answer)

    @property
    def _version(self) -> int | None:
        return self.active_config.config.version if self.active_config.config else None

    async def _send_failure(self, call: Call, status: int, answer: Answer) -> None:
        headers = self.wire.refusal_headers(call.call_id, None)
        await answer.send_whole(status, headers, b'')

    async def _send_refusal(
        self, call: Call, refusal: Refuse, answer: Answer, organisation: Organisation | None
    ) -> None:
        name = organisation.name if organisation else ''
        log_refused(call, refusal, self._version, self.config_age_s(), name)
        headers = self.wire.refusal_headers(
            call.call_id,
            refusal.outcome.retry_after_s,
            asks_for_key=refusal.status == STATUS_UNAUTHORISED,
        )
        await answer.send_whole(refusal.status, headers, b'')


@attrs.frozen
class CarriedAnswerSender(FinalAnswerSender):
    """Sends the final answers of forwarded calls, for which the other gateway answers its caller.

    A refusal or failure of this gateway is stated as such, so that it is told from a replica's.
    """

    async def _send_failure(self, call: Call, status: int, answer: Answer) -> None:
        outcome = ForwardOutcome(OutcomeKind.MAY_HAVE_RUN)
        await self._send_outcome(call, status, outcome, answer)

    async def _send_refusal(
        self, call: Call, refusal: Refuse, answer: Answer, organisation: Organisation | None
    ) -> None:
        log_not_carried(call, refusal.outcome)
        outcome = ForwardOutcome.from_refusal(refusal.outcome)
        await self._send_outcome(call, STATUS_UNAVAILABLE, outcome, answer)

    async def _send_outcome(
        self, call: Call, status: int, outcome: ForwardOutcome, answer: Answer
    ) -> None:
        headers = [*self.wire.refusal_headers(call.call_id, None), outcome_field(outcome)]
        await answer.send_whole(status, headers, b'')

"""The HTTP form of a forwarded call: the caller's request and a replica's answer, plus one header.

Owns the names of the headers that only gateways exchange. The platform's adapter
(:class:`~limeshelf.calls.wire.CallWire`) reads and writes all others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from limeshelf.errors import InvalidRequest, OutcomeKind
from limeshelf.forwarding.messages import ForwardedCall, ForwardOutcome
from limeshelf.organisations.organisation import KeyDigest
from limeshelf.util.clock import MS_PER_S
from limeshelf.util.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.calls.call import Call
    from limeshelf.calls.wire import AnswerHead, CallWire, SendContext

#: In a request: a :class:`ForwardedCall` in JSON.
FORWARDED = 'X-Gateway-Call'
#: In an answer: a :class:`ForwardOutcome` in JSON, if the answer is the gateway's own.
OUTCOME = 'X-Gateway-Outcome'
#: Names of header fields that replicas may not set for callers, in lower case.
BETWEEN_GATEWAYS = frozenset({FORWARDED.lower(), OUTCOME.lower()})


def without_field(fields: Iterable[tuple[str, str]], name: str) -> tuple[tuple[str, str], ...]:
    """Return header fields without those of one name, which callers and replicas may not set."""
    return tuple(field for field in fields if field[0].lower() != name.lower())


@attrs.define
class ForwardWire:
    """Converts one call that is forwarded, and the answer to it.

    Implements the part of :class:`~limeshelf.calls.wire.CallWire` that a send uses.

    :param forwarded: sent with the call.
    :ivar outcome: the outcome in the answer, once it has arrived; ``None`` for a replica's answer.
    """

    wire: CallWire
    forwarded: ForwardedCall
    outcome: ForwardOutcome | None = None

    def send_headers(self, call: Call, context: SendContext) -> list[tuple[str, str]]:
        """Return the headers with which to send the call to another gateway."""
        sent = without_field(self.wire.send_headers(call, context), FORWARDED)
        return [*sent, (FORWARDED, msgspec.json.encode(self.forwarded).decode())]

    def read_answer(self, status: int, fields: Any) -> AnswerHead:
        """Parse the head of an answer, and keep the gateway's outcome in it."""
        head = self.wire.read_answer(status, fields)
        encoded = fields.get(OUTCOME)
        if encoded is None:
            return head
        self.outcome = _decode_outcome(encoded)
        is_not_run = self.outcome.kind is OutcomeKind.NOT_RUN
        return attrs.evolve(head, not_run=is_not_run, misdirected=False)


def _decode_outcome(encoded: str) -> ForwardOutcome:
    try:
        return msgspec.json.decode(encoded, type=ForwardOutcome)
    except DECODE_ERRORS:
        # Of a release that is not known here; nothing shows that the call did not run.
        return ForwardOutcome(OutcomeKind.MAY_HAVE_RUN)


def outcome_field(outcome: ForwardOutcome) -> tuple[str, str]:
    """Return the header field of an outcome."""
    return (OUTCOME, msgspec.json.encode(outcome).decode())


@attrs.frozen
class ReceivedCall:
    """A call that another gateway forwarded.

    :param call: arrived when its caller's request arrived at the forwarding gateway.
    :param left_s: time until the forwarding gateway must answer its caller, in seconds.
    """

    call: Call
    forwarded: ForwardedCall
    left_s: float

    def with_body(self, body: bytes) -> ReceivedCall:
        """Return the same call with its body."""
        return attrs.evolve(self, call=attrs.evolve(self.call, body=body))


def read_forwarded_call(
    wire: CallWire, method: str, target: str, fields: Any, received_s: float
) -> ReceivedCall:
    """Return the call in the head of another gateway's request, without its body.

    :param target: path and query exactly as received.
    :param fields: header fields, a case-insensitive multi-dictionary.
    :param received_s: when the request was received, on the boot clock.
    :raises InvalidRequest: a field is missing or malformed.
    """
    try:
        forwarded = msgspec.json.decode(fields.get(FORWARDED, ''), type=ForwardedCall)
        key = KeyDigest(bytes.fromhex(forwarded.key)) if forwarded.key is not None else None
    except (*DECODE_ERRORS, ValueError):
        raise InvalidRequest(FORWARDED, 'not a forwarded call') from None
    received = wire.read_call(method, target, fields, received_s)
    timeout_ms = forwarded.caller_timeout_ms
    call = attrs.evolve(
        received,
        headers=without_field(received.headers, FORWARDED),
        arrived_s=received_s - forwarded.waited_ms / MS_PER_S,
        caller_timeout_s=timeout_ms / MS_PER_S if timeout_ms is not None else None,
        key=key,
    )
    return ReceivedCall(call, forwarded, received.caller_timeout_s or 0.0)

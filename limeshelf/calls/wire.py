"""Interface to the wire format of calls.

The gateway depends on these types alone; each platform's adapter implements :class:`CallWire`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import attrs

from limeshelf.calls.notice import NO_NOTICE, ReplicaNotice

if TYPE_CHECKING:
    from limeshelf.calls.call import Call


@attrs.frozen
class SendContext:
    """Values of one attempt that are sent to the replica with the call.

    :param left_s: time that the replica has for the call, in seconds.
    :param replica_id: id of the intended replica; no other may run the call.
    :param priority: priority of the call; 0 is the most urgent.
    :param last_event_id: event after which a resumed stream continues.
    :param organisation: name of the holder of the call's key; ``None`` without one.
    """

    left_s: float
    replica_id: str
    priority: int
    last_event_id: str | None
    organisation: str | None = None


@attrs.frozen
class AnswerHead:
    """The parsed head of a replica's answer.

    :param status: HTTP status.
    :param call_id: id of the answered call, from the answer's header; ``None`` without one.
    :param is_signed: whether it carries the replica's signature.
    :param encoded: whether the body has a content encoding.
    :param not_run: whether the replica states that it did not run the call.
    :param misdirected: whether another replica answered, or the replica lacks the model or
        adapter.
    :param headers: headers to forward.
    :param retry_after_s: time until the replica expects to have room, in seconds.
    :param keep_alive_s: time for which the replica keeps an idle connection, in seconds.
    :param notice: backpressure notice of the replica.
    """

    status: int
    call_id: str | None
    is_signed: bool
    encoded: bool
    not_run: bool
    misdirected: bool
    retry_after_s: float | None
    headers: tuple[tuple[str, str], ...]
    keep_alive_s: float | None
    notice: ReplicaNotice = NO_NOTICE


class SendWire(Protocol):
    """Encodes the headers of a call that is sent, and decodes the head of its answer."""

    def send_headers(self, call: Call, context: SendContext) -> list[tuple[str, str]]:
        """Return the headers with which to send a call."""

    def read_answer(self, status: int, fields: Any) -> AnswerHead:
        """Parse the head of an answer.

        :param fields: header fields, a case-insensitive multi-dictionary.
        """


class CallWire(SendWire, Protocol):
    """Decodes requests and answers, and encodes their headers, in one wire format."""

    def read_call(self, method: str, target: str, fields: Any, arrived_s: float) -> Call:
        """Return the call in the head of a request, without its body.

        :param target: path and query exactly as received.
        :param fields: header fields, a case-insensitive multi-dictionary.
        :param arrived_s: when the head had arrived, on the boot clock.
        :raises InvalidRequest: a field is missing or malformed.
        """

    def refusal_headers(
        self, call_id: str | None, retry_after_s: float | None, *, asks_for_key: bool = False
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer that the gateway itself gives.

        :param call_id: ``None`` where the request could not be parsed.
        :param retry_after_s: when the caller should retry, in seconds; ``None`` if not at all.
        :param asks_for_key: whether the answer asks for a key, as the call has no known one.
        """

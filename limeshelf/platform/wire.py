"""The platform's spelling of calls and answers behind the product's port."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limeshelf.platform import headers

if TYPE_CHECKING:
    from limeshelf.calls.call import Call
    from limeshelf.calls.wire import AnswerFacts, SendFacts


class PlatformWire:
    """Implements :class:`limeshelf.calls.wire.CallWire`."""

    def read_call(
        self, method: str, target: str, fields: Any, body: bytes, arrived_s: float
    ) -> Call:
        """Return the call in a request; raises :exc:`InvalidRequest`."""
        return headers.read_call(method, target, fields, body, arrived_s)

    def send_headers(self, call: Call, facts: SendFacts) -> list[tuple[str, str]]:
        """Return the headers with which a call goes to a replica."""
        return headers.send_headers(call, facts)

    def read_answer(self, status: int, fields: Any) -> AnswerFacts:
        """Return what the head of a replica's answer says."""
        return headers.read_answer(status, fields)

    def refusal_headers(
        self, call_id: str | None, retry_after_s: float | None
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer of our own."""
        return headers.refusal_headers(call_id, retry_after_s)

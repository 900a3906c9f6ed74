"""The port to an adapter that spells calls: what is sent, and what an answer's head says.

The gateway decides on these types alone; :class:`CallWire` is implemented once for each
platform.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import attrs

from limeshelf.calls.notice import NO_NOTICE, ReplicaNotice

if TYPE_CHECKING:
    from limeshelf.calls.call import Call


@attrs.frozen
class SendFacts:
    """What goes with a call to a replica beside the call itself.

    :param left_s: time that the replica may work, in seconds.
    :param replica_id: the replica that is meant; no other may run the call.
    :param priority: rank of the call; 0 is the most urgent.
    :param last_event_id: go on behind this event, on resumption.
    :param organisation: name of the one that holds the call's key; ``None`` without one.
    """

    left_s: float
    replica_id: str
    priority: int
    last_event_id: str | None
    organisation: str | None = None


@attrs.frozen
class AnswerFacts:
    """What the head of a replica's answer says.

    :param call_id: the call that it answers, by its own header; ``None`` without one.
    :param stamped: whether it bears the replica's signature.
    :param encoded: whether the body was encoded on the way.
    :param not_run: the replica says that it did not run the call.
    :param misdirected: another replica answered, or what the call needs is
        not there.
    :param headers: those that travel on.
    :param retry_after_s: when the replica expects to have room, in seconds.
    :param keep_alive_s: how long the replica keeps an idle connection, in seconds.
    :param notice: what the replica asks of those who send to it.
    """

    status: int
    call_id: str | None
    stamped: bool
    encoded: bool
    not_run: bool
    misdirected: bool
    retry_after_s: float | None
    headers: tuple[tuple[str, str], ...]
    keep_alive_s: float | None
    notice: ReplicaNotice = NO_NOTICE


class CallWire(Protocol):
    """The spelling of calls and answers; one implementation a wire."""

    def read_call(
        self, method: str, target: str, fields: Any, body: bytes, arrived_s: float
    ) -> Call:
        """Return the call in a request.

        :param target: path and query exactly as received.
        :param fields: header fields, a case-insensitive multi-dictionary.
        :param arrived_s: when the head was there, on the steady clock.
        :raises InvalidRequest: a field is missing or malformed.
        """

    def send_headers(self, call: Call, facts: SendFacts) -> list[tuple[str, str]]:
        """Return the headers with which a call goes to a replica."""

    def read_answer(self, status: int, fields: Any) -> AnswerFacts:
        """Return what the head of a replica's answer says."""

    def refusal_headers(
        self, call_id: str | None, retry_after_s: float | None, *, asks_for_key: bool = False
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer of our own.

        :param call_id: ``None`` where the request is no call.
        :param retry_after_s: when to come back, in seconds; ``None`` if not at all.
        :param asks_for_key: whether the call lacks a key that is known.
        """

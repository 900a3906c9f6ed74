"""Converts requests and responses between the platform's format and the product's types.

Stateless: converts a request into a :class:`~limeshelf.calls.call.Call` and the status and
headers of a replica's response into :class:`~limeshelf.calls.wire.AnswerHead`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.calls.call import Call
from limeshelf.calls.wire import AnswerHead, SendContext
from limeshelf.errors import InvalidRequest
from limeshelf.forwarding.wire import BETWEEN_GATEWAYS
from limeshelf.platform import headers
from limeshelf.platform.request_target import read_target

if TYPE_CHECKING:
    from collections.abc import Mapping

    from multidict import MultiMapping


class PlatformWire:
    """Implements :class:`limeshelf.calls.wire.CallWire`."""

    def read_call(
        self, method: str, target: str, fields: MultiMapping[str], arrived_s: float
    ) -> Call:
        """Return the call in the head of a request, without its body.

        :param target: target of the request line exactly as received.
        :param fields: case-insensitive multi-dictionary of the request's headers.
        :param arrived_s: arrival time on the monotonic clock.
        :raises InvalidRequest: a header is missing or malformed.
        """
        call_id = fields.get(headers.CALL_ID)
        if not call_id:
            raise InvalidRequest(headers.CALL_ID, 'missing')
        connection_options = headers.read_connection_options(fields.getall('Connection', []))
        read = read_target(target, fields.get(headers.HOST, ''))
        forwarded = tuple(
            (name, read.authority if name.lower() == headers.HOST.lower() else value)
            for name, value in fields.items()
            if headers.is_forwarded(name, connection_options)
        )
        deadline = fields.get(headers.DEADLINE)
        return Call(
            call_id=call_id,
            method=method,
            host=read.host,
            target=read.origin_form,
            headers=forwarded,
            body=b'',
            arrived_s=arrived_s,
            caller_timeout_s=headers.read_count(deadline, headers.DEADLINE) / 1000
            if deadline
            else None,
            model_need=headers.read_model_need(fields),
            last_event_id=fields.get(headers.LAST_EVENT),
            key=headers.read_key_digest(fields.getall(headers.AUTHORIZATION, [])),
            stated_tokens=headers.read_stated_tokens(fields),
            resumes=fields.get(headers.RESUMES),
        )

    def send_headers(self, call: Call, context: SendContext) -> list[tuple[str, str]]:
        """Return the headers of a call to a replica."""
        sent = list(call.headers)
        sent.append((headers.DEADLINE, str(max(1, int(context.left_s * 1000)))))
        sent.append((headers.EXPECT_INSTANCE, context.replica_id))
        if call.model_need is not None:
            rank = min(headers.LEAST_URGENT, max(headers.MOST_URGENT, context.priority))
            sent.append((headers.PRIORITY, str(rank)))
        if context.organisation is not None:
            sent.append((headers.ORGANISATION, context.organisation))
        if context.last_event_id is not None:
            sent.append((headers.LAST_EVENT, context.last_event_id))
        return sent

    def read_answer(self, status: int, fields: Mapping[str, str]) -> AnswerHead:
        """Return the contents of the status and headers of a replica's response.

        :param fields: case-insensitive multi-dictionary of the response headers.
        """
        misdirected = status == headers.STATUS_MISDIRECTED
        return AnswerHead(
            status=status,
            call_id=fields.get(headers.CALL_ID),
            is_signed=headers.STAMP in fields,
            encoded='Content-Encoding' in fields,
            not_run=misdirected or headers.NOT_EXECUTED in fields,
            misdirected=misdirected,
            retry_after_s=headers.read_seconds(fields.get(headers.RETRY_AFTER)),
            headers=tuple(
                (name, value)
                for name, value in fields.items()
                if name.lower() not in headers.HOP_BY_HOP_HEADERS | BETWEEN_GATEWAYS
            ),
            keep_alive_s=headers.read_keep_alive_s(fields.get('Keep-Alive')),
            notice=headers.read_notice(status, fields),
        )

    def refusal_headers(
        self, call_id: str | None, retry_after_s: float | None, *, asks_for_key: bool = False
    ) -> list[tuple[str, str]]:
        """Return the headers of a refusal by the gateway itself.

        :param retry_after_s: delay before a retry, in seconds; ``None`` sends no header.
        :param asks_for_key: whether the call was refused for lack of a valid key.
        """
        sent = [(headers.CALL_ID, call_id)] if call_id else []
        if retry_after_s is not None:
            sent.append((headers.RETRY_AFTER, f'{max(0.0, retry_after_s):.3f}'))
        if asks_for_key:
            sent.append((headers.CHALLENGE, headers.KEY_SCHEME))
        return sent

"""Writes tokens in the OpenAI shapes, as one body or as events.

Owns the fields of answers to model requests. Relies on ``answers`` for errors.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec

from limeshelf.standalone.entry.answers import error_body

if TYPE_CHECKING:
    from limeshelf.errors import MayHaveRun, NotRun
    from limeshelf.standalone.entry.parse import ModelRequest
    from limeshelf.standalone.upstreams.messages import TokenLine

END_EVENT = b'data: [DONE]\n\n'
#: Stands for the text while the equal bytes of the events are encoded once.
_PLACEHOLDER = '\0'


class EventWriter:
    """Writes the events of one streamed answer.

    What is equal in all events of an answer is encoded once; for each token
    only its text is.
    """

    def __init__(self, request: ModelRequest) -> None:
        self._request = request
        self._created = int(time.time())
        whole = msgspec.json.encode(self._chunk(_PLACEHOLDER, None))
        before, _, after = whole.partition(msgspec.json.encode(_PLACEHOLDER))
        self._before = b'data: ' + before
        self._after = after + b'\n\n'

    def _chunk(self, text: str, finish: str | None) -> dict[str, Any]:
        request = self._request
        choice: dict[str, Any] = {'index': 0, 'finish_reason': finish}
        if request.chat:
            choice['delta'] = {'content': text} if finish is None else {}
        else:
            choice['text'] = text
        return {
            'id': request.request_id,
            'object': 'chat.completion.chunk' if request.chat else 'text_completion',
            'created': self._created,
            'model': request.model,
            'choices': [choice],
        }

    def events(self, batch: list[TokenLine]) -> bytes:
        """Return the events of a batch of lines."""
        pieces: list[bytes] = []
        encode = msgspec.json.encode
        for line in batch:
            if line.finish:
                pieces.append(b'data: ' + encode(self._chunk('', line.finish)) + b'\n\n')
                pieces.append(END_EVENT)
            else:
                pieces += (self._before, encode(line.text), self._after)
        return b''.join(pieces)

    def error_event(self, outcome: NotRun | MayHaveRun) -> bytes:
        """Return the event that ends an answer which cannot be whole."""
        body = error_body(outcome, self._request.request_id)
        return b'data: ' + msgspec.json.encode(body) + b'\n\n'


def whole_body(request: ModelRequest, text: str, finish: str, tokens: int) -> bytes:
    """Return the body of an answer that is not streamed.

    :param tokens: number of tokens of *text*. The prompt is not tokenized here;
        it is counted by whitespace.
    """
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish}
    if request.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    prompt_tokens = len(request.prompt.split())
    body = {
        'id': request.request_id,
        'object': 'chat.completion' if request.chat else 'text_completion',
        'created': int(time.time()),
        'model': request.model,
        'choices': [choice],
        'usage': {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': tokens,
            'total_tokens': prompt_tokens + tokens,
        },
    }
    return msgspec.json.encode(body)

"""Answers to requests whose heads are not read to their ends, so that no library answers them."""

from __future__ import annotations

#: When a caller may come again that was refused for want of memory, in seconds.
BUFFERS_FULL_RETRY_AFTER_S = 1
STATUS_HEAD_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503
_REASONS = {
    STATUS_HEAD_TOO_LARGE: 'Request Header Fields Too Large',
    STATUS_UNAVAILABLE: 'Service Unavailable',
}


def head_refusal(status: int) -> bytes:
    """Return a whole answer, after which the connection is closed."""
    fields = ['Content-Length: 0', 'Connection: close']
    if status == STATUS_UNAVAILABLE:
        fields.append(f'Retry-After: {BUFFERS_FULL_RETRY_AFTER_S}')
    return '\r\n'.join([f'HTTP/1.1 {status} {_REASONS[status]}', *fields, '', '']).encode()

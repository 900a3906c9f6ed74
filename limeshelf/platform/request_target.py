"""The target of a request line, in either form in which a server must accept it (RFC 9112, 3.2).

Stateless.
"""

from __future__ import annotations

import re

import attrs

#: The absolute form: scheme, authority, and the origin form without its leading part.
_ABSOLUTE_FORM = re.compile(r'https?://([^/?#]*)(.*)', re.IGNORECASE | re.DOTALL)


@attrs.frozen
class RequestTarget:
    """Where a request goes.

    :param authority: host and port, as received.
    :param origin_form: path and query, as received.
    """

    authority: str
    origin_form: str

    @property
    def host(self) -> str:
        """Return the host name without the port."""
        return self.authority.partition(':')[0]


def read_target(target: str, host_field: str) -> RequestTarget:
    """Return the target of a request; an absolute one takes precedence over the ``Host`` field."""
    absolute = _ABSOLUTE_FORM.fullmatch(target)
    if absolute is None:
        return RequestTarget(host_field, target)
    authority, rest = absolute.groups()
    return RequestTarget(authority, rest if rest.startswith('/') else f'/{rest}')

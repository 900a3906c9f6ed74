"""Checks of network addresses that other programs state."""

from __future__ import annotations

import ipaddress
import re

MAX_PORT = 65535
#: An IP address, IPv6 in brackets, and a port.
_ADDRESS = re.compile(r'(?:([0-9.]+)|\[([0-9A-Fa-f:.]+)\]):([0-9]{1,5})')


def is_ip_address_and_port(text: str) -> bool:
    """Return whether a text is an IP address and a port.

    Host names are not accepted: their look-up has no time limit of its own, and calls would wait
    for it.
    """
    found = _ADDRESS.fullmatch(text)
    if found is None:
        return False
    ip_v4, ip_v6, port = found.groups()
    return _is_ip_address(ip_v4 or ip_v6) and 0 < int(port) <= MAX_PORT


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        # Not logged: the caller reports the field.
        return False
    return True

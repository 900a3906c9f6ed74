"""Utilities shared by all packages.

* ``backoff``: random delays before retries, and jittered periods.
* ``clock``: the boot clock and the wall clock, both replaceable in tests.
* ``connector``: an HTTP connector that closes each descriptor only once.
* ``decoding``: the exceptions that decoders raise for invalid input.
* ``http``: HTTP sessions that send each request once.
* ``identifiers``: random ids.
* ``rate``: a token bucket.
* ``sockets``: TCP sockets that detect an unreachable peer.
* ``suspension``: time limits that include the time for which the machine was suspended.
* ``tasks``: background tasks whose failures are logged.
"""

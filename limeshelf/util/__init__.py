"""What both halves of the product need and no standard library gives.

* ``backoff``: pauses before a retry, and periods that do not run in step.
* ``clock``: the steady clock and the one for people, both replaceable in tests.
* ``http``: HTTP sessions that send each request once.
* ``identifiers``: random ids.
* ``rate``: a token bucket.
* ``sockets``: TCP sockets that notice a cut.
* ``tasks``: background tasks that are never lost silently.
"""

"""Tells a call or a load that comes again from another one, whoever sends it.

Owns nothing; relies on what of a call stays the same when its caller sends it again, whatever its
id and the gateway it comes to.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from limeshelf.calls.call import Call

#: Stands for the content of a call, or for a load, in hexadecimal digits.
Fingerprint = NewType('Fingerprint', str)

#: With 1,000 fingerprints remembered and 10^9 calls, two contents share one of this length with
#: a chance of 5e-8.
FINGERPRINT_BYTES = 8


def fingerprint_of(call: Call) -> Fingerprint:
    """Return what stands for the content of a call and its caller.

    Takes 4 us for a body of 3 KB, 1.2 ms for one of 1 MB (benchmarks/fingerprint.py).

    The same caller is told by its key; without keys, callers that send the same content count as
    one. Left out is what changes with each try: its id, its time, what it already has of a stream.
    """
    need = call.model_need
    model = f'{need.model}/{need.adapter}' if need is not None else ''
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (call.method, call.host.lower(), call.target, model):
        _add(digest, part.encode(errors='surrogateescape'))
    _add(digest, call.key or b'')
    _add(digest, call.body)
    return Fingerprint(digest.hexdigest())


def load_fingerprint(service: str, model: str, adapter: str) -> Fingerprint:
    """Return what stands for the load of a model or of an adapter.

    :param adapter: empty where the model itself is meant.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=b'load')
    for part in (service, model, adapter):
        _add(digest, part.encode())
    return Fingerprint(digest.hexdigest())


def _add(digest: hashlib.blake2b, part: bytes) -> None:
    # Its length first: otherwise parts that are cut elsewhere would read the same.
    digest.update(len(part).to_bytes(8, 'big'))
    digest.update(part)

"""What decoding untrusted bytes can raise, and the numbers that are accepted in them."""

from __future__ import annotations

from typing import Annotated

import msgspec

#: Exceptions of a decoder for invalid documents, which include text that is not UTF-8 and
#: excessive nesting (tests/platform/test_foreign_rows.py generates arbitrary input).
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

#: Largest whole number that every writer of JSON represents exactly. Larger ones would be accepted
#: here and fail later, as messages between gateways hold 64 bits.
MAX_WHOLE_NUMBER = 2**53

#: A whole number of 0 or more that can be kept, compared and passed on.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]

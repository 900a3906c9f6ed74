"""The exceptions that decoding untrusted bytes can raise."""

from __future__ import annotations

import msgspec

#: Exceptions of a decoder for invalid documents, which include text that is not UTF-8 and
#: excessive nesting (tests/platform/test_foreign_rows.py generates arbitrary input).
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

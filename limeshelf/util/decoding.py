"""What goes wrong when bytes of others are decoded."""

from __future__ import annotations

import msgspec

#: What a decoder raises for bytes that are no such document; text that is no UTF-8 and nesting
#: without end are among them (tests/platform/test_foreign_rows.py draws any).
UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

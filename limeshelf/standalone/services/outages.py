"""Limits how often an outage of a platform service is logged, the same in all modules."""

from __future__ import annotations

#: Minimum interval between two log lines of one call site about an outage. Calls may fail several
#: times a second.
OUTAGE_LOG_S = 10.0

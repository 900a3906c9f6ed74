"""How often a lasting outage of a platform service is written to the log.

Owns the one figure that all modules use which go on through an outage.
"""

from __future__ import annotations

#: Least pause between two lines of one place about an outage: its calls come up to some times a
#: second, and one line is enough.
OUTAGE_LOG_S = 10.0

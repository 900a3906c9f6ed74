"""Names of the headers that limeshelf reads and writes."""

from __future__ import annotations

CALLER_HEADER = 'X-Caller'
DEADLINE_HEADER = 'X-Deadline-S'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
OUTCOME_HEADER = 'X-Limeshelf-Outcome'
REQUEST_ID_HEADER = 'X-Limeshelf-Request-Id'
REVISION_HEADER = 'X-Limeshelf-Revision'
REPLAYED_HEADER = 'X-Limeshelf-Replayed'
RETRY_AFTER_HEADER = 'Retry-After'

"""Claims on idempotency keys, so that a call runs at most once."""

"""Which calls are held, refused and retried, and the Retry-After of refusals."""

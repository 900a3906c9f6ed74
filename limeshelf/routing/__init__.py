"""Which replica a call goes to."""

"""Which replica serves a request: load estimates and routing policies."""

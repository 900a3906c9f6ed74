"""Orders to replicas: what is sent, and what may be there meanwhile."""

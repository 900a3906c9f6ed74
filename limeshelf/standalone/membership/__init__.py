"""Membership: the live, leaving and removed processes and upstreams."""

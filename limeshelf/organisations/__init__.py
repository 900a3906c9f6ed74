"""Organisations: whose key a call carries, whether it may run, and how much they may ask.

Rules and values only, without input or output: the adapter reads organisations from the
operator's configuration, the gateway asks before each send.
"""

"""Organisations: API keys, access checks and usage limits.

Contains rules and values only and does no input or output. The platform adapter reads
organisations from the operator's configuration; the gateway checks access before each send.
"""

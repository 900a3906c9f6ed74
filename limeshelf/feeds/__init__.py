"""Rows that the platform keeps: the port to its table, and mirrors that follow it."""

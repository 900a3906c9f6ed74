"""Rows of the store: the port to its tables, copies of them, and what follows the store."""

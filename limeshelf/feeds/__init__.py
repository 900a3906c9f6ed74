"""Copies of the store's tables: the store's interface, and how the copies are kept up to date."""

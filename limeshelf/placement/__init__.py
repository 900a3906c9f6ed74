"""Decides which models and adapters each replica holds."""

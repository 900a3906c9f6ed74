"""Demand for models and adapters, and the replica capacity that it requires."""

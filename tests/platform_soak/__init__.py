"""Soak test of real gateway processes against a stand-in platform, under seeded faults."""

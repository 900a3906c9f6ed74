"""Real gateway processes before stand-ins of the platform, under seeded faults."""

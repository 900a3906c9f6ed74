"""Small helpers sorted by topic: clocks, tasks, identifiers."""

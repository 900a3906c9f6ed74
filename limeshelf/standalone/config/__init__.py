"""Operator configuration: entities, deltas, snapshots and the revision in force."""

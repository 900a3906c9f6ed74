"""Quarantine of calls and loads that are suspected of crashing replicas.

A replica that exits or loses power without having announced that it is leaving has crashed here,
whatever the cause.
"""

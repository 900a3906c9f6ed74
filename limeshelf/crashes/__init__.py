"""Quarantine of calls and loads that are suspected of crashing replicas.

A crash is here any end of a replica that it has not announced, whatever the cause.
"""

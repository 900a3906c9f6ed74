"""Revisions of the configuration: commit, fetch and spread."""

"""Revisions of the configuration: commit, fetch and distribution to peers."""

"""Forwards calls from callers to replicas, and the answers back."""

"""Calls that one gateway forwards to another, because it cannot connect to their replicas."""

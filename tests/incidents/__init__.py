"""Failures that were seen with users: what happened, what proved the cause, and that it is mended."""

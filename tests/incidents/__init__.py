"""Failures that users saw: what happened, what proved the cause, and that it is mended."""

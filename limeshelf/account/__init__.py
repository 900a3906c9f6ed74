"""Analyses gateway logs: how calls ended, and why calls were not served in time."""

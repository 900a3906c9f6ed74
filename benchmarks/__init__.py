"""Measurements; each prints ratios of one run."""

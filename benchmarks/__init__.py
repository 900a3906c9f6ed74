"""Benchmarks; each prints the figures of one run."""

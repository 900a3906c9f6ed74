"""Console scripts, one job each."""

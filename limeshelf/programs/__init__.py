"""Console scripts and the wiring of their components."""

"""What is admitted, held, refused and repeated."""

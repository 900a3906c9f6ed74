"""What is held, refused and repeated, and when a caller is told to come back."""

"""What is held, refused and repeated, and with which time to come back."""

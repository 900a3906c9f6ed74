"""What is refused, retried and limited at an entry instance."""

"""The lease under which one gateway gives orders, and its fence."""

"""What callers ask of models, and what that needs of replicas."""

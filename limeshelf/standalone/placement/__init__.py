"""Model placement: memory accounting, anchor replicas, policies and load orders."""

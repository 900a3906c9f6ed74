"""Selection of a replica for plain calls, by each gateway on its own."""

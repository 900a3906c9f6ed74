"""Which instances and upstreams are live, leaving or gone."""

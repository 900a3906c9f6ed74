"""Stand-ins that speak the users' platform's protocol: its store and its replicas."""

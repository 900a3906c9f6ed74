"""The replicas of all services: what they say, what they hold, how they do."""

"""Clients of the platform's services: table, object and weight stores, instance list."""

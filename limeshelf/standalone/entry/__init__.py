"""The caller-facing HTTP program: parsing, relaying, errors and drain."""

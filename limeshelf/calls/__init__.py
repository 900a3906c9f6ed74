"""Data types of calls and of the serving configuration."""

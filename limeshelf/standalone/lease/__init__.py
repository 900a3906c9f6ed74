"""Fenced lease that elects one placer per data centre as leader."""

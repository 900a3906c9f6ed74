"""The fenced lease that makes one placer per data centre the leader."""

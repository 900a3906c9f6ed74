"""Keeps resumed streams at replicas of the software version that began them."""

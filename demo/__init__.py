"""A whole system on one machine, used once and then left up."""

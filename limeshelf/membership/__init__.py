"""Membership of the gateways, and the state that they exchange with each other."""

"""The gateways of this deployment, and the state that they send one another."""

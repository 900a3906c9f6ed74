"""The gateways of this deployment, and the state that they tell one another."""

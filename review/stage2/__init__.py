"""What the scripts of the second review share: gateways as processes, and clients."""

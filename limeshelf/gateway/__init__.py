"""How one call goes from its caller to a replica, and its answer back."""

"""The lease that lets one gateway send orders, and its fencing token."""

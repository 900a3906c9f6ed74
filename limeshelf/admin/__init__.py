"""The operator RPC: generated schema code and its service."""

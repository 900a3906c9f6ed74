"""The operator RPC's server, client and operations; its schema is in limeshelf/admin."""

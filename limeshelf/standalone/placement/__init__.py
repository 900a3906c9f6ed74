"""Which model sits in which memory: ledger, anchors, policies and orders."""

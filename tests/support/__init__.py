"""Stand-ins, fixtures and checks that several test packages share."""

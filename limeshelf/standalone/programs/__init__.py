"""The programs of the own wire: entry, placer, admin, the command line, experiments."""

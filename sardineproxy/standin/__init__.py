"""Stand-ins for outside systems, for tests, demo and bench."""

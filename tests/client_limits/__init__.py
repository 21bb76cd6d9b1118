"""Clients that are not under control, against real processes."""

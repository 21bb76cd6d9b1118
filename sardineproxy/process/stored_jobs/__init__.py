"""Stored jobs: their storage in the platform's store and their execution."""

"""Decisions on waiting work; without input or output, the time is passed in."""

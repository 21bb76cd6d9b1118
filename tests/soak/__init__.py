"""Randomized soak test of real node processes; run it with ``make soak``."""

"""Load driver and measures."""

"""Demo of the whole system on loopback."""

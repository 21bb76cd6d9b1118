"""Demo of a complete deployment on loopback."""

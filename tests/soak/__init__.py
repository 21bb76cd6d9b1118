"""Randomized soak of real node processes; ``make soak`` runs it."""

"""Stored jobs: where they are kept and how they are carried out."""

"""Scripted scenarios against real processes on loopback."""

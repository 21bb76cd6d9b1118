"""Adapter to the platform: its names, formats and calls.

The modules make no decisions: each one translates between one interface of
the platform and the project's types.
"""

"""Adapter to the users' platform: its names, formats and calls.

Nothing in here decides. Each module decodes one interface of the platform
into the project's types, or encodes them for it.
"""

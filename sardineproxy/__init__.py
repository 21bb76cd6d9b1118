"""Dispatcher for sub-second tasks between callers and back ends."""

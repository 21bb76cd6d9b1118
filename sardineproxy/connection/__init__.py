"""Connections to callers, endpoints and other entry processes."""

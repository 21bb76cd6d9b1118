"""Handling of submitted requests and jobs at the entry VM."""

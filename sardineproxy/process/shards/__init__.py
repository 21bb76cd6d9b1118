"""Dispatch of tasks to the workers of a cell by the VM that owns it."""

"""Run a program: ``python -m sardineproxy NAME [flags]``."""

"""The operator's program, sardineproxyctl."""

"""Tests of the modules in ``sardineproxy.connection``."""

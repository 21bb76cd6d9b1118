"""Tests of the modules in ``sardineproxy.request``."""

"""Tests of the modules in ``sardineproxy.process``."""

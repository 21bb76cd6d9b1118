"""Tests of the modules in ``sardineproxy.version``."""

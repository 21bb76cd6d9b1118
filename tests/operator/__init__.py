"""Tests of ``sardineproxy.operator``."""

"""Tests of the modules of the same name."""

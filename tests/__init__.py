"""Tests of sardineproxy."""

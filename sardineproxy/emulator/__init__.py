"""Emulator of a deployment: real nodes on virtual time, network and store."""

"""The entry process on the users' platform."""

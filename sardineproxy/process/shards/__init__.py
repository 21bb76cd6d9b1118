"""Dispatch of a shard's tasks to its workers by the leader VM."""

"""Membership of entry VMs: registry, shard leaders, and peer links."""

"""Cluster membership: failure detection, gossip and choice of entry hosts."""

"""Replication: carrying changed items between nodes and repairing what differs."""

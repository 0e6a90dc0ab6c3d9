"""Replication of tables between nodes: transferring changed items, and repairing replicas that differ."""

"""Communication between nodes: frames, message codec, connections, calls (docs/control/connections.md)."""

"""Messages between nodes: frames, codec, connections, and calls of peers (docs/control/connections.md)."""

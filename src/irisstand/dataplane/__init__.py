"""The data plane: edge, shield, store."""

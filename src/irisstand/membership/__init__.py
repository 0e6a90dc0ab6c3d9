"""SWIM membership protocol: failure detector, dissemination of updates, and joining (docs/swim.md)."""

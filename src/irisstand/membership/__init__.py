"""SWIM membership: failure detector, dissemination, joining (docs/swim.md)."""

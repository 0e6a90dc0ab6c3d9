"""SWIM membership: who is there."""

"""Draws: shields, origins, shares, retry budget."""

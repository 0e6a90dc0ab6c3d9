"""Frames, codec and connections between peers."""

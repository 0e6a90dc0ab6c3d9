"""HTTP towards clients: listeners, adapters and header names."""

"""Serves HTTP clients: listeners, adapters for sanic, and header names."""

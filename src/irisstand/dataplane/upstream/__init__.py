"""Connections and requests to origins."""

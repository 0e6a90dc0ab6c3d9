"""Connections to origins, the choice among origins, and the requests and retries that are sent to them."""

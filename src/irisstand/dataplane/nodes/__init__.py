"""One module for each role of a data plane node."""

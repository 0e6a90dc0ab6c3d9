"""The roles of data plane nodes, one module for each role, with the clients that they call each other by."""

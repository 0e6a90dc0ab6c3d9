"""A local cluster: the real programs as processes on one machine, with load, faults and checks."""

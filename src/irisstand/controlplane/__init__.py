"""The control plane: ballots, duties, operators."""

"""The HTTP interface by which operators read and change the state of the control plane."""

"""The `irisstand` command line: one module for each group of commands."""

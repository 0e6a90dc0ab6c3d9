"""The `irisstand` command line: one module for each section of commands in its help."""

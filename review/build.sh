#!/bin/bash
# The stand-ins are Python of the standard library alone; this checks that they compile.
cd "$(dirname "$0")" && exec python3 -m compileall -q .

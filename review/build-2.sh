#!/bin/bash
# Builds the stand-ins of the second review. They are Python: this checks that they compile and can be imported
# with the libraries of the deploy file's build (target/deps), which has to run first.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand_ins_2.py review/[6-9] review/10 tests/support src/irisstand/emulators || true
cd review
python3 -c "import stand_ins_2"

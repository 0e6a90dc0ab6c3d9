#!/bin/bash
# Builds the stand-ins of the second review. They are Python: this sees that they compile and that they can be
# imported with the libraries of the deploy file's build (target/deps), which has to run first.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand_ins_2.py review/6 review/7 review/8 review/9 review/10 \
    tests/support/deployed_programs.py tests/support/deployed_settings.py src/irisstand/emulators
cd review
python3 -c "import stand_ins_2"

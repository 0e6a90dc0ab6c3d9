#!/bin/bash
# Builds the stand-ins of the second review. They are Python: this sees that they parse, and that they can be imported
# with the libraries of the deploy file's build (target/deps), which has to run first. It leaves no file behind.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
python3 -c '
import ast, pathlib
paths = [pathlib.Path("review/stand_ins_2.py"), *(pathlib.Path(f"review/{n}/case.py") for n in range(6, 11))]
paths += [pathlib.Path(f"tests/support/deployed_{name}.py") for name in ("programs", "settings")]
for path in [*paths, *pathlib.Path("src/irisstand/emulators").glob("*.py")]:
    ast.parse(path.read_text(), str(path))
'
cd review
python3 -c "import stand_ins_2"

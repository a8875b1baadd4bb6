#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs that need only the standard
# library, so this checks that python3 can compile them. The cases start the program that the build
# command of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PY'
import ast
import glob

for name in sorted(glob.glob("lib-2/*.py") + glob.glob("[0-9]*/case.py")):
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
PY
echo "stand-ins are ready"

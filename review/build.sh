#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder. They are Python programs on the standard library
# (review/lib), and no stand-in of the project is used, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"

python3 -c 'import sys; assert sys.version_info >= (3, 8)'
for file in lib/*.py [1-5]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done

#!/bin/sh
# Builds the stand-ins of the cases review/4 and later. They are Python programs (standard library
# only) in review/standins2, so this compiles them once to show that they can be read here.
set -e
cd "$(dirname "$0")/standins2"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "python3 of 3.11 or later is needed")'
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import ast
import glob
for path in sorted(glob.glob("*.py")):
    ast.parse(open(path, encoding="utf-8").read(), path)
print("stand-ins: ready")
CHECK

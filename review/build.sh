#!/bin/sh
# Checks the stand-ins of the cases. They are Python programs with no further dependency, so nothing is compiled;
# the controllers are built by the build command of deploy/service.toml.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - common/standin.py ./*/case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as f:
        compile(f.read(), name, "exec")
CHECK

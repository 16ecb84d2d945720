#!/bin/sh
# Run once after the build of deploy/balancer.toml. The stand-ins of cases 6 to 10 are Python scripts that
# need only the standard library and the interpreter of that build: this checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -B - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path("review").glob("*/*.py")):
    if path.parent.name in ("standins2", "6", "7", "8", "9", "10"):
        ast.parse(path.read_text(), str(path))
PY
PYTHONPATH=review/standins2 .venv/bin/python -B -c 'import world2'

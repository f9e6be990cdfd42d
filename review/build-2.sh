#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10 can be started. They are Python
# modules of this folder and need only what the build of deploy/system.toml has put
# into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/rig python3 -c "import rig"
for file in review/rig/*.py review/[0-9]*/case.py; do
    [ -f "$file" ] || continue
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done

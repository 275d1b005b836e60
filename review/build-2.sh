#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, which are Python: compiles them, and checks that the programs' libraries are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
test -d target/deps || { echo "build-2: run the build line of deploy/system.toml first" >&2; exit 1; }
PYTHONPATH="$PWD:$PWD/target/deps" python3 - <<'PY'
import ast
import pathlib

import review.harness.fleet
import review.harness.http
import review.harness.world

for path in pathlib.Path("review").glob("[4-8]/case.py"):
    ast.parse(path.read_text())
PY

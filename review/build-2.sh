#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are scripts in review/stand-ins-2, which need no build. Checks
# that their interpreter is there and can read them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - <<'PY'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or newer is needed")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY

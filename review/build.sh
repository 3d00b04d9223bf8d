#!/usr/bin/env bash
# The stand-ins need no building: one Python module without dependencies.
# Checks that this Python can read it and the cases.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib

for path in sorted(pathlib.Path().glob('**/*.py')):
    ast.parse(path.read_text(), str(path))
    print('ok', path)
PYTHON

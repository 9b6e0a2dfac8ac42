#!/usr/bin/env bash
# The stand-ins are Python programs with the standard library alone and need no build: checks that they compile.
cd "$(dirname "$0")" || exit 2
python3 - <<'CHECK'
import pathlib
import sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for source in pathlib.Path(".").rglob("*.py"):
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
CHECK

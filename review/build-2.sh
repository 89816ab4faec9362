#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: Python programs of this repository, run
# by the machine's python3 with its standard library. They only need to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

paths = [pathlib.Path("scripts/platform_rig.py"),
         pathlib.Path("scripts/soak_proxy.py"),
         pathlib.Path("review/small_fleet.py")]
for number in range(6, 11):
    paths += sorted(pathlib.Path(f"review/{number}").glob("*.py"))
for path in paths:
    compile(path.read_text(), str(path), "exec")
    print("compiles:", path)
PYTHON

#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs: the project's own rig
# (scripts/platform_rig.py) and review/rig_case.py. They need no build; this
# checks that they can be read and that the build of the deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast, pathlib
for path in [*pathlib.Path("review").rglob("*.py"),
             pathlib.Path("scripts/platform_rig.py"),
             pathlib.Path("scripts/soak_proxy.py")]:
    ast.parse(path.read_text())
PY
test -x target/basilhoist-router || {
  echo "target/basilhoist-router is missing: run the build of deploy/system.toml" >&2
  exit 1
}

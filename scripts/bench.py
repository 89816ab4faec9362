"""Runs one measurement; see scripts/bench."""

import argparse
import json
import pathlib
import shutil
import sys
import tempfile
import time

import bench_chaos
import bench_control
import bench_control_path
import bench_faults
import bench_ownership
import bench_patterns
import bench_query
import bench_store_rollback
import svg_report

FINDINGS = pathlib.Path(__file__).resolve().parent.parent / "run" / "findings"

BENCHES = {
    "chaos": bench_chaos.run,
    "cold": bench_faults.cold,
    "config": bench_control_path.config,
    "control": bench_control.run,
    "domain": bench_faults.domain,
    "ownership": bench_ownership.run,
    "once": bench_control_path.once,
    "overload": bench_faults.overload,
    "patterns": bench_patterns.run,
    "query": bench_query.run,
    "rolling": bench_faults.rolling,
    "store-rollback": bench_store_rollback.run,
    "subrequest": bench_control.subrequest,
}


def keep_findings(logs, arguments, figures):
    """Keeps the logs of a run that broke a promise."""
    if not any(value for name, (value, _) in figures.items()
               if name.startswith("promise_")):
        return
    kept = FINDINGS / (f"{arguments.name}-{arguments.seed}-"
                       f"{time.strftime('%Y%m%dT%H%M%S')}")
    shutil.copytree(logs, kept)
    print(f"a promise was broken; logs are kept in {kept}", file=sys.stderr)


def main():
    parser = argparse.ArgumentParser(prog="scripts/bench")
    parser.add_argument("name", nargs="?", choices=sorted(BENCHES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json")
    parser.add_argument("--svg")
    arguments = parser.parse_args()
    if not arguments.name:
        print("\n".join(sorted(BENCHES)))
        return
    with tempfile.TemporaryDirectory() as logs:
        figures = BENCHES[arguments.name](logs, arguments.seed)
        keep_findings(logs, arguments, figures)
    for name, (value, unit) in figures.items():
        print(f"{name} {value:.6g} {unit}")
    if arguments.svg:
        svg_report.write(arguments.svg, f"{arguments.name}, seed "
                         f"{arguments.seed}", figures)
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump({name: value for name, (value, _) in figures.items()},
                      file)
    if figures.get("targets_missed", (0, ""))[0]:
        sys.exit(1)


if __name__ == "__main__":
    main()

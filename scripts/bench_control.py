"""scripts/bench control and subrequest: costs by size, from measured slopes."""

import json
import pathlib
import subprocess
import time

import bench_common as common
import fleet

REAL_SIZES = (8, 16, 32, 64)
# A watch lasts 10 s, so store calls are counted over a little more than that
# at the ends of the range.
IDLE_S = {8: 11, 16: 4, 32: 4, 64: 11}
CELL = 8
NODES_AT_SIZE = 3900


def slopes(pattern):
    """Returns {name/argument: (nanoseconds, bytes)} of the pure parts."""
    out = subprocess.run(
        [fleet.BUILD / "basilhoist-slopes", "--benchmark_format=json",
         "--benchmark_min_time=0.1", f"--benchmark_filter={pattern}"],
        capture_output=True, text=True, check=True).stdout
    return {each["name"]: (each["cpu_time"], each.get("bytes", 0))
            for each in json.loads(out)["benchmarks"]}


def memory_mb(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text(
            ).splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def fit(points):
    """Least squares of value = a + b * size: (a, b, worst misfit share)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    slope = (sum((x - mean_x) * (y - mean_y) for x, y in points) /
             sum((x - mean_x) ** 2 for x, _ in points))
    base = mean_y - slope * mean_x
    worst = max(abs(y - base - slope * x) / y if y else 0 for x, y in points)
    return base, slope, worst


def measure_real(logs, seed, size):
    with common.start("quetzal", f"{logs}/{size}", seed, entries=size) as site:
        time.sleep(0.5)
        sums = []
        calls = []
        for _ in range(2):
            states = [site.status(n) for n in range(size)]
            sums.append((
                time.time(),
                sum(fleet.cpu_seconds(site.processes[f"entry-{n}"])
                    for n in range(size)),
                sum(state["control_bytes"] for state in states)))
            calls.append(site.platform()["calls"])
            if len(sums) == 1:
                time.sleep(IDLE_S[size])
        span = sums[1][0] - sums[0][0]
        memory = max(memory_mb(site.processes[f"entry-{n}"])
                     for n in range(size))
    return {"cpu_share": (sums[1][1] - sums[0][1]) / span / size,
            "bytes_per_s": (sums[1][2] - sums[0][2]) / span / size,
            "store_calls_per_s": (calls[1] - calls[0]) / span,
            "memory_mb": memory}


def run(logs, seed):
    real = {size: measure_real(logs, seed, size) for size in REAL_SIZES}
    figures = {}
    units = {"cpu_share": "cores", "bytes_per_s": "B/s",
             "store_calls_per_s": "calls/s", "memory_mb": "MB"}
    for size, values in real.items():
        for name, value in values.items():
            figures[f"{name}_{size}"] = (value, units[name])
    for name, unit in units.items():
        base, slope, worst = fit([(size, real[size][name])
                                  for size in REAL_SIZES])
        figures[f"{name}_fit_base"] = (base, unit)
        figures[f"{name}_fit_slope"] = (slope, f"{unit}/instance")
        figures[f"{name}_fit_worst"] = (worst, "share")
    for name, (nanoseconds, size) in slopes(
            "HeartbeatRound|OwnerOrders|MaySend").items():
        key = name.replace("/", "_")
        figures[f"{key}_us"] = (nanoseconds / 1000, "us")
        if size:
            figures[f"{key}_bytes"] = (size, "B")
    # At full size the instances stand in cells of CELL members each.
    cells = NODES_AT_SIZE / CELL
    figures["cpu_share"] = (real[CELL]["cpu_share"], "cores")
    figures["memory_mb"] = (real[CELL]["memory_mb"], "MB")
    figures["bytes_per_s"] = (real[CELL]["bytes_per_s"], "B/s")
    figures["store_calls_per_s"] = (
        real[CELL]["store_calls_per_s"] * cells, "calls/s")
    return figures


def subrequest(_logs, _seed):
    found = slopes("BatchCodec|Gate|QueryRun")
    figures = {}
    for name, (nanoseconds, size) in found.items():
        part, _, count = name.partition("/")
        each = nanoseconds / 1000 / (int(count) if count else 1)
        key = name.replace("/", "_")
        figures[f"{key}_us_each"] = (each, "us")
        if size:
            figures[f"{key}_bytes_each"] = (size / int(count), "B")
    return figures

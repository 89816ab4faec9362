"""scripts/bench config and once: the control path."""

import json
import time

import bench_common as common
import fleet

SITE = "quetzal"


def force_time(site, apply):
    """Seconds from acceptance until every instance has the change."""
    code, out, error = apply()
    assert code == 0, (out, error)
    accepted = time.time()
    version = json.loads(out)["version"]
    while True:
        states = [site.status(number) for number in range(site.count)]
        if all(isinstance(state, dict) and
               state["documents"].get("config", 0) >= version
               for state in states):
            return time.time() - accepted
        if time.time() - accepted > 15:
            return 15.0
        time.sleep(0.01)


def apply_to(site, *extra):
    return site.apply("--json", f"--instances={site.all_ops()}", *extra)


def config(logs, seed):
    figures = {}
    for size in (8, 16, 32, 64):
        with common.start(SITE, f"{logs}/{size}", seed, entries=size) as site:
            up = [force_time(site, lambda: apply_to(site)) for _ in range(3)]
            time.sleep(0.3)
            before = site.platform()["calls"]
            began = time.time()
            time.sleep(2)
            idle = (site.platform()["calls"] - before) / (time.time() - began)
            before = site.platform()["calls"]
            began = time.time()
            for _ in range(3):
                force_time(site, lambda: apply_to(site))
            calls = (site.platform()["calls"] - before -
                     idle * (time.time() - began)) / 3
            figures[f"store_calls_per_change_{size}"] = (calls, "calls")
            if size != 8:
                figures[f"force_s_max_{size}"] = (max(up), "s")
                continue
            figures["force_s_max"] = (max(up), "s")
            half = [site.entry_address(n) for n in range(0, size, 2)]
            site.platform(cut=half)
            time.sleep(0.5)
            figures["force_s_max_half_cut"] = (
                force_time(site, lambda: apply_to(site)), "s")
            site.platform(cut=[])

            def apply_then_outage():
                done = apply_to(site)
                site.platform(down=True)
                return done
            figures["force_s_max_store_down"] = (
                force_time(site, apply_then_outage), "s")
            site.platform(down=False)
    return figures


def once(logs, seed):
    """Requests not to be repeated, each sent twice, while faults happen."""
    seconds, rate = 16, 60
    group = "club-notices"
    log = f"{logs}/once.jsonl"
    with common.start(SITE, logs, seed, keep_records=True) as site:
        before = site.platform()["writes"] + site.platform()["reads"]
        load = site.start_load(f"{group}:once:{rate}", seconds,
                               "--repeat-once", log=log)
        time.sleep(2)
        site.platform(lose_answers=5)
        time.sleep(2)
        site.kill(f"entry-{seed % 8}")
        time.sleep(1)
        site.start_entry(seed % 8)
        time.sleep(2)
        site.platform(refuse=True)
        time.sleep(1.5)
        site.platform(refuse=False)
        time.sleep(1)
        servers = sorted(name for service in
                         site.group_services()[group].values()
                         for name in service)
        site.backends(servers=[servers[seed % len(servers)]], crash=True)
        report = fleet.finish_load(load)["groups"][group]
        calls = site.platform()
        runs = site.runs(once=True)
    answers = [json.loads(line) for line in open(log, encoding="utf-8")]
    count = {}
    for run in runs:
        count[run["request_id"]] = count.get(run["request_id"], 0) + 1
    verdicts = {}
    for answer in answers:
        verdicts.setdefault(answer["id"], set()).add(answer["verdict"])
    lies = sum(said == {"not_run"} and request in count
               for request, said in verdicts.items())
    known = sum(bool(said & {"done", "recorded"}) or said == {"not_run"}
                for said in verdicts.values())
    requests = len(verdicts)
    return {
        "runs_per_request_max": (max(count.values()), "runs"),
        "not_run_lies": (lies, "requests"),
        "outcome_known_share": (known / requests, "share"),
        "store_calls_per_request": (
            (calls["writes"] + calls["reads"] - before) / (2 * requests),
            "calls"),
        "p99_ms": (report["p99_ms"], "ms"),
        "requests": (requests, "requests"),
        "cut_requests": (report["cut"], "requests"),
    }

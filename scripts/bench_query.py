"""scripts/bench query: the query path against oracle, bound and baseline."""

import contextlib
import subprocess

import bench_common as common
import fleet

SECONDS = 8
LOAD_SHARE = 0.6
SLOW_SERVER_FACTOR = 3.0
SLOW_SERVERS = {"quetzal": "md-03-a", "sao-bang": "ss-03-a"}
SLOW_GROUPS = {"quetzal": "matchday-desk", "sao-bang": "sighting-search"}
BARE_SECONDS = 3


def measure(logs, seed, baseline):
    """Loads both users at once; returns their reports and sums."""
    with contextlib.ExitStack() as stack:
        sites = [stack.enter_context(
            common.start(name, logs, seed, baseline=baseline))
            for name in fleet.SITES]
        for site in sites:
            site.backends(servers=[SLOW_SERVERS[site.site]],
                          slow_factor=SLOW_SERVER_FACTOR)
        common.warm_up(sites)
        before = [common.entry_counts(site) for site in sites]
        loads = [site.start_load(
            common.mix(site.site, LOAD_SHARE, None, SLOW_SERVER_FACTOR,
                       SLOW_GROUPS[site.site]), SECONDS,
            f"--slow-server={SLOW_SERVERS[site.site]}",
            f"--slow-server-factor={SLOW_SERVER_FACTOR}") for site in sites]
        reports = [fleet.finish_load(load) for load in loads]
        sums = [common.difference(common.entry_counts(site), counts)
                for site, counts in zip(sites, before)]
        counters = [counter for site in sites
                    for counter in site.backends().values()]
        bare = 0.0 if baseline else measure_bare(sites[0])
    return reports, sums, counters, bare


def measure_bare(site):
    """Processor time of a sub-request in the least loop, in microseconds."""
    servers = [server["address"]
               for service in site.group_services()["matchday-desk"].values()
               for server in service.values()]
    out = subprocess.run(
        [fleet.BUILD / "basilhoist-bare", f"--servers={','.join(servers)}",
         "--each=1", f"--seconds={BARE_SECONDS}"],
        capture_output=True, text=True, check=True).stdout
    return float(out.split()[1])


def query_reports(reports):
    groups = []
    for report in reports:
        for name, group in report["groups"].items():
            if any(name in common.query_groups(site) for site in fleet.SITES):
                groups.append(group)
    return groups


def run(logs, seed):
    reports, sums, counters, bare = measure(logs, seed, False)
    base_reports, _, _, _ = measure(f"{logs}/baseline", seed, True)
    groups = query_reports(reports)
    base = query_reports(base_reports)
    p99 = common.weighted(groups, "p99_ms")
    base_p99 = common.weighted(base, "p99_ms")
    oracle = sum(each["oracle_p99_ms"] for each in reports) / len(reports)
    bound = sum(each["bound_p99_ms"] for each in reports) / len(reports)
    first = sum(each["first"] for each in sums)
    cpu = sum(each["cpu"] for each in sums) * 1e6 / sum(
        each["sent"] for each in sums)
    worst = common.worst_over_limits(counters)
    arrivals = sum(each["arrivals"] for each in counters)
    return {
        "p50_ms": (common.weighted(groups, "p50_ms"), "ms"),
        "p99_ms": (p99, "ms"),
        "p999_ms": (common.weighted(groups, "p999_ms"), "ms"),
        "oracle_p99_ms": (oracle, "ms"),
        "bound_p99_ms": (bound, "ms"),
        "p99_over_bound": (p99 / bound, "ratio"),
        "baseline_p99_ms": (base_p99, "ms"),
        "p99_over_baseline": (p99 / base_p99, "ratio"),
        "coverage_mean": (common.weighted(groups, "coverage_mean"), "share"),
        "full_share": (common.share(groups, "full"), "share"),
        "answered_share": (common.share(groups, "full") +
                           common.share(groups, "partial"), "share"),
        "wrong_answers": (sum(each["wrong"] for each in groups), "answers"),
        "extra_load": (arrivals / first - 1, "share"),
        "cpu_us_per_subrequest": (cpu, "us"),
        "bare_cpu_us_per_subrequest": (bare, "us"),
        "cpu_over_bare": (cpu / bare, "ratio"),
        "subrequests": (first, "count"),
        "over_slots_max": (worst["over_slots"], "requests"),
        "over_connections_max": (worst["over_connections"], "connections"),
    }

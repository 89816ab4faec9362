"""scripts/bench ownership: ways of sharing the backend servers."""

import time

import bench_common as common
import bench_faults
import fleet

WAYS = ("one-owner", "two-owners", "shares")
SECONDS = 7
LOAD_SHARE = 0.6


def measure(logs, seed, way):
    """The same load, cold start and change of members for each way."""
    site_name = "quetzal"
    desk = bench_faults.DESK
    with common.start(site_name, f"{logs}/{way}", seed, sharing=way) as site:
        common.warm_up([site])
        mix = common.mix(site_name, LOAD_SHARE, [desk])
        calm = site.load(mix, 4, "--drain-seconds=0.7")["groups"][desk]
        before = common.worst_over_limits(site.backends().values())
        connections = max(each["most_connections"]
                          for each in site.backends().values())
        load = site.start_load(mix, SECONDS, "--drain-seconds=0.7")
        time.sleep(1)
        names = sorted(name for service in
                       site.group_services()[desk].values()
                       for name in service)
        site.backends(servers=names[0:8:2], crash=True)
        time.sleep(3)
        site.terminate(f"entry-{seed % site.count}")
        disturbed = fleet.finish_load(load)["groups"][desk]
        after = common.worst_over_limits(site.backends().values())
    return {
        "p99_ms": (calm["p99_ms"], "ms"),
        "full_share": (calm["full"] / calm["sent"], "share"),
        "over_limit_max": (max(before["over_slots"], after["over_slots"]),
                           "requests"),
        "connections": (connections, "connections"),
        "cold_over_window_max": (after["over_window"], "requests"),
        "cold_servers_fell_over": (after["crashes"] - 4, "servers"),
        "disturbed_p99_ms": (disturbed["p99_ms"], "ms"),
        "disturbed_full_share": (disturbed["full"] / disturbed["sent"],
                                 "share"),
    }


def run(logs, seed):
    figures = {}
    for way in WAYS:
        for name, value in measure(logs, seed, way).items():
            figures[f"{way.replace('-', '_')}_{name}"] = value
    return figures

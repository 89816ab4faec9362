"""Loads and sums that several measurements share."""

import fleet

TYPICAL_US = 20000
SLOW_SHARE = 0.02
SLOW_FACTOR = 10.0
# Mean time on a server: typical, with a share that is slower by the factor.
MEAN_S = TYPICAL_US * (1 + SLOW_SHARE * (SLOW_FACTOR - 1)) / 1e6

# Group, operation, backend servers, slots of each, services.
GROUPS = {
    "quetzal": [("matchday-desk", "query", 40, 2, 20),
                ("assessor-portal", "query", 60, 2, 30),
                ("roster-clerk", "lookup", 10, 3, 5)],
    "sao-bang": [("sighting-search", "query", 40, 2, 20),
                 ("clip-archive", "query", 60, 2, 30),
                 ("station-registry", "lookup", 6, 6, 3)],
}


def capacity(servers, slots, shards, slow_factor=1.0):
    """Requests a second that the servers of a group can take at most.

    A query needs every shard, so the shard with the slow server sets it.
    """
    replicas = servers / shards
    weakest = replicas - 1 + 1 / slow_factor
    rate = weakest * slots / MEAN_S
    return rate


def lookup_capacity(servers, slots):
    return servers * slots / MEAN_S


def mix(site, share, only=None, slow_factor=1.0, slow_group=None):
    """The site's streams at a share of what its servers can take."""
    streams = []
    for group, operation, servers, slots, services in GROUPS[site]:
        if only and group not in only:
            continue
        factor = slow_factor if group == slow_group else 1.0
        rate = share * (capacity(servers, slots, services, factor)
                        if operation == "query"
                        else lookup_capacity(servers, slots))
        streams.append(f"{group}:{operation}:{rate:.2f}")
    return ",".join(streams)


def start(site, logs, seed, keep_records=False, **options):
    return fleet.Fleet(site, f"{logs}/{site}", seed=seed,
                       typical_us=TYPICAL_US, slow_share=SLOW_SHARE,
                       records=keep_records, balancer_lag_ms=500, **options)


def warm_up(sites, share=0.3, seconds=2):
    """Opens the cold-start windows and fills what is learned of latencies."""
    loads = [site.start_load(mix(site.site, share), seconds,
                             "--drain-seconds=0.5") for site in sites]
    for load in loads:
        fleet.finish_load(load)
    for site in sites:
        site.backends(clear=True)


def entry_counts(site):
    """Sum of the entries' counters and of their processor time."""
    total = {"first": 0, "extra": 0, "sent": 0, "cpu": 0.0}
    for number in range(site.count):
        name = f"entry-{number}"
        if name not in site.processes:
            continue
        state = site.status(number)
        if not isinstance(state, dict):
            continue
        total["first"] += state["entry"]["first_attempts"]
        total["extra"] += state["entry"]["extra_attempts"]
        total["sent"] += state["owner"]["sent"]
        total["cpu"] += fleet.cpu_seconds(site.processes[name])
    return total


def difference(after, before):
    return {key: after[key] - before[key] for key in after}


def query_groups(site):
    return [group for group, operation, *_ in GROUPS[site]
            if operation == "query"]


def worst_over_limits(counters):
    """The worst of what the stand-ins of several sites saw."""
    return {
        "over_slots": max(each["most_over_slots"] for each in counters),
        "over_window": max(each["most_over_window"] for each in counters),
        "over_connections": max(
            max(0, each["most_connections"] - each["connections_limit"])
            for each in counters),
        "crashes": sum(each["crashes"] for each in counters),
    }


def weighted(reports, key):
    """Mean of a figure over groups, weighted by their answers."""
    answers = [report["full"] + report["partial"] for report in reports]
    total = sum(answers)
    return (sum(report[key] * count
                for report, count in zip(reports, answers)) / total
            if total else 0.0)


def share(reports, key):
    sent = sum(report["sent"] for report in reports)
    return sum(report[key] for report in reports) / sent if sent else 0.0

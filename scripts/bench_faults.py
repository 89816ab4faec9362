"""Measurements under overload, cold starts and a domain out of service."""

import contextlib
import time

import bench_common as common
import fleet

SITE = "quetzal"
DESK = "matchday-desk"
CLERK = "roster-clerk"
FIRST_GROUP = {"quetzal": DESK, "sao-bang": "sighting-search"}
STEP_S = 0.1  # of the load tool's timeline
GOOD_SHARE = 0.99


def goodput(report, seconds, skip=1.0):
    """Full answers a second to the desk, by the time they were asked for."""
    steps = report["timeline_100ms"][DESK][int(skip / STEP_S):
                                           int(seconds / STEP_S)]
    return sum(step[1] for step in steps) / (len(steps) * STEP_S)


def seconds_until_good(report, start=0.0):
    """Time from `start` until from then on nearly all answers are full."""
    return max(until_good(steps, start)
               for steps in report["timeline_100ms"].values())


def until_good(steps, start):
    good_from = len(steps)
    for index in range(len(steps) - 1, int(start / STEP_S) - 1, -1):
        sent, full, _ = steps[index]
        if sent and full < sent * GOOD_SHARE:
            break
        good_from = index
    return max(0.0, good_from * STEP_S - start)


def overload(logs, seed):
    seconds = 6
    with common.start(SITE, logs, seed) as site:
        common.warm_up([site])
        loads = {}
        for name, share in (("1x", 1.0), ("2x", 2.0), ("after", 0.6)):
            # The clerks ask at half of what their own servers can take.
            mix = ",".join((common.mix(SITE, share, [DESK]),
                            common.mix(SITE, 0.5, [CLERK])))
            loads[name] = site.load(mix, seconds, "--drain-seconds=0.3")
        worst = common.worst_over_limits(site.backends().values())
    once, twice = (goodput(loads[name], seconds) for name in ("1x", "2x"))
    refusals = loads["2x"]["groups"][DESK]["refusal_p99_ms"]
    return {
        "goodput_1x": (once, "queries/s"),
        "goodput_2x": (twice, "queries/s"),
        "goodput_ratio": (twice / once, "ratio"),
        "refusal_p99_ms": (refusals, "ms"),
        "recovery_s": (seconds_until_good(loads["after"]), "s"),
        "p99_1x_ms": (loads["1x"]["groups"][DESK]["p99_ms"], "ms"),
        "p99_2x_ms": (loads["2x"]["groups"][DESK]["p99_ms"], "ms"),
        "clerk_p99_1x_ms": (loads["1x"]["groups"][CLERK]["p99_ms"], "ms"),
        "clerk_p99_2x_ms": (loads["2x"]["groups"][CLERK]["p99_ms"], "ms"),
        "clerk_full_share_2x": (common.share([loads["2x"]["groups"][CLERK]],
                                             "full"), "share"),
        "wrong_answers": (sum(group["wrong"] for load in loads.values()
                              for group in load["groups"].values()),
                          "answers"),
        "over_slots_max": (worst["over_slots"], "requests"),
    }


def cold(logs, seed):
    """Servers restart unannounced, then a whole domain comes back cold.

    Both users at once: Quetzal's queries weigh latency, Sao Bang's coverage.
    """
    seconds = 16
    index = seed % 4
    with contextlib.ExitStack() as stack:
        sites = [stack.enter_context(common.start(name, logs, seed))
                 for name in fleet.SITES]
        common.warm_up(sites)
        loads = [site.start_load(common.mix(site.site, 0.5,
                                            [FIRST_GROUP[site.site]]), seconds)
                 for site in sites]
        time.sleep(3)
        for site in sites:
            names = sorted(name for service in
                           site.group_services()[FIRST_GROUP[site.site]].values()
                           for name in service)
            site.backends(servers=[names[seed % len(names)]], crash=True)
        time.sleep(4)
        for site in sites:
            site.backends(index, crash=True)
        reports = [fleet.finish_load(load) for load in loads]
        worsts = [common.worst_over_limits(site.backends().values())
                  for site in sites]
    groups = [report["groups"][FIRST_GROUP[site.site]]
              for site, report in zip(sites, reports)]
    caused = sum(1 + servers_of_domain(site, index) for site in sites)
    figures = {
        "over_window_max": (max(each["over_window"] for each in worsts),
                            "requests"),
        "servers_crashed": (sum(each["crashes"] for each in worsts) - caused,
                            "servers"),
        "p99_ms": (common.weighted(groups, "p99_ms"), "ms"),
        "full_share": (common.share(groups, "full"), "share"),
        "answered_share": (common.share(groups, "full") +
                           common.share(groups, "partial"), "share"),
        "wrong_answers": (sum(group["wrong"] for group in groups), "answers"),
        "seconds_to_full_service": (
            max(seconds_until_good(report, 7.0) for report in reports), "s"),
        "over_slots_max": (max(each["over_slots"] for each in worsts),
                           "requests"),
    }
    for site, group in zip(sites, groups):
        key = site.site.replace("-", "_")
        figures[f"{key}_p99_ms"] = (group["p99_ms"], "ms")
        figures[f"{key}_full_share"] = (group["full"] / group["sent"], "share")
        figures[f"{key}_coverage_mean"] = (group["coverage_mean"], "share")
    return figures


def servers_of_domain(site, index):
    domain = site.info["domains"][index]
    return sum(server["failure_domain"] == domain
               for services in site.group_services().values()
               for service in services.values()
               for server in service.values())


def domain(logs, seed):
    """A failure domain is taken out and brought back at 60% load."""
    seconds = 18
    with common.start(SITE, logs, seed) as site:
        common.warm_up([site])
        calm = site.load(common.mix(SITE, 0.6, [DESK]), 4)
        index = seed % 4
        name = site.info["domains"][index]
        load = site.start_load(common.mix(SITE, 0.6, [DESK]), seconds)
        time.sleep(3)
        asked = time.time()
        code, out, _ = site.drain("drain", "domain", name)
        time.sleep(6)
        last = max(each["last_run_us"]
                   for each in site.backends(index).values()) / 1e6
        site.drain("return", "domain", name)
        report = fleet.finish_load(load)
        worst = common.worst_over_limits(site.backends().values())
    assert code == 0, out
    group = report["groups"][DESK]
    return {
        "last_new_work_s": (max(0.0, last - asked), "s"),
        "answered_share": ((group["full"] + group["partial"]) / group["sent"],
                           "share"),
        "full_share": (group["full"] / group["sent"], "share"),
        "p99_ms": (group["p99_ms"], "ms"),
        "p99_before_ms": (calm["groups"][DESK]["p99_ms"], "ms"),
        "refusal_p99_ms": (group["refusal_p99_ms"], "ms"),
        "cut_requests": (group["cut"] + report["unanswered"], "requests"),
        "wrong_answers": (group["wrong"], "answers"),
        "over_slots_max": (worst["over_slots"], "requests"),
    }


def rolling(logs, seed):
    """All instances are replaced one after another under load."""
    seconds = 30
    with common.start(SITE, logs, seed) as site:
        common.warm_up([site])
        load = site.start_load(common.mix(SITE, 0.4), seconds)
        codes = []
        for number in range(site.count):
            codes.append(site.terminate(f"entry-{number}"))
            site.start_entry(number)
            site.wait_entry(number)
            time.sleep(0.7)
        report = fleet.finish_load(load)
        worst = common.worst_over_limits(site.backends().values())
    groups = list(report["groups"].values())
    query = report["groups"][DESK]
    return {
        "cut_requests": (sum(group["cut"] for group in groups) +
                         report["unanswered"], "requests"),
        "exit_codes_not_zero": (sum(code != 0 for code in codes),
                                "processes"),
        "p99_ms": (query["p99_ms"], "ms"),
        "full_share": (common.share(groups, "full"), "share"),
        "answered_share": (common.share(groups, "full") +
                           common.share(groups, "partial"), "share"),
        "wrong_answers": (sum(group["wrong"] for group in groups), "answers"),
        "over_slots_max": (worst["over_slots"], "requests"),
        "over_connections_max": (worst["over_connections"], "connections"),
    }

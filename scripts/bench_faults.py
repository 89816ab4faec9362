"""Measurements under overload, cold starts and a domain out of service."""

import time

import bench_common as common
import fleet

SITE = "quetzal"
DESK = "matchday-desk"
STEP_S = 0.1  # of the load tool's timeline
GOOD_SHARE = 0.99


def goodput(report, seconds, skip=1.0):
    """Full answers a second, by the time they were asked for."""
    steps = report["timeline_100ms"][int(skip / STEP_S):int(seconds / STEP_S)]
    return sum(step[1] for step in steps) / (len(steps) * STEP_S)


def seconds_until_good(report, start=0.0):
    """Time from `start` until from then on nearly all answers are full."""
    steps = report["timeline_100ms"]
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
            loads[name] = site.load(common.mix(SITE, share, [DESK]), seconds,
                                    "--drain-seconds=0.3")
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
        "wrong_answers": (sum(load["groups"][DESK]["wrong"]
                              for load in loads.values()), "answers"),
        "over_slots_max": (worst["over_slots"], "requests"),
    }


def cold(logs, seed):
    """One server restarts unannounced, then a whole domain comes back cold."""
    seconds = 16
    with common.start(SITE, logs, seed) as site:
        common.warm_up([site])
        names = sorted(name for service in
                       site.group_services()[DESK].values()
                       for name in service)
        load = site.start_load(common.mix(SITE, 0.5, [DESK]), seconds)
        time.sleep(3)
        site.backends(servers=[names[seed % len(names)]], crash=True)
        time.sleep(4)
        index = seed % 4
        site.backends(index, crash=True)
        report = fleet.finish_load(load)
        worst = common.worst_over_limits(site.backends().values())
    group = report["groups"][DESK]
    caused = 1 + servers_of_domain(site, index)
    return {
        "over_window_max": (worst["over_window"], "requests"),
        "servers_crashed": (worst["crashes"] - caused, "servers"),
        "p99_ms": (group["p99_ms"], "ms"),
        "full_share": (group["full"] / group["sent"], "share"),
        "answered_share": ((group["full"] + group["partial"]) / group["sent"],
                           "share"),
        "wrong_answers": (group["wrong"], "answers"),
        "seconds_to_full_service": (seconds_until_good(report, 7.0), "s"),
        "over_slots_max": (worst["over_slots"], "requests"),
    }


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

"""Checks what callers and backend servers saw in a soak against the promises.

Each check returns its breaches as sentences. Bounds are the users' own; checks
with a time bound hold for a router that nothing disturbed for CONTACT_S, as the
users' rules do.
"""

import bisect
import collections
import dataclasses

import platform_rig
import soak_workspaces
from platform_rig import POISON

CONTACT_S = 4.0
DRAIN_S = 3.0
EVACUATION_S = 5.0
QUIET_SETTLE_S = 0.5
MOST_IN_QUIET = 2
LIMIT_OVERSHOOT, LIMIT_SLACK, LIMIT_WINDOW_S = 1.5, 5, 4.0
LIMIT_HEARD_S = 0.5
CRASHES = 3
MOST_REPEATS = 3
BUDGET_WINDOW_S = 10.0
BUDGET_RATIO, BUDGET_FIXED = 0.2, 56
MOST_ATTEMPTS = 2
LATE_S = 0.5  # an answer after its time
LOST_SLACK_S = 0.2
LEAST_COVERAGE = 0.6
ALLOWED_LOST = 3


@dataclasses.dataclass(frozen=True)
class Event:
    """A fault; it disturbs one router, or all where none is named."""

    what: str
    begin: float
    end: float
    router: int | None
    more: dict


# Faults that put a router out of touch, for itself or for all.
# A start may come later than the end of its kill.
DISTURBING = ("kill", "term", "freeze", "start", "core_cut", "store")


class Seen:
    """What happened, indexed for the checks."""

    def __init__(self, soak, calm):
        self.soak, self.calm = soak, calm
        self.attempts = {each.name: each for each in soak.attempts}
        self.servers = list(soak.rig.all_runs)
        self.arrivals = sorted((at, name, server) for server in self.servers
                               for name, at in server.arrived)
        self.ran = collections.Counter(name for server in self.servers
                                       for name, _ in server.ran)
        self.out = [each for each in soak.events if each.what in DISTURBING]

    def in_touch(self, router, since, until):
        return not any(each.begin - 0.1 <= until
                       and each.end + CONTACT_S >= since
                       and each.router in (None, router) for each in self.out)

    @staticmethod
    def router_of(name):
        return int(name.split("-")[0])

    def may_have_sent(self, name):
        """Routers that can have sent a request to servers; shards of one go
        through others."""
        if self.soak.poison_target.startswith("/all/"):
            return range(self.soak.rig.count)
        return [self.router_of(name)]

    def of(self, what):
        return [each for each in self.soak.events if each.what == what]


def mixed(seen):
    breaches = []
    for each in seen.soak.attempts:
        if each.status != 200:
            continue
        if each.kind != "all":
            proof = each.headers.get("basilhoist-server-signature", "")
            server = proof.rsplit(".", 1)[0]
            sent = b"x" if each.kind == "once" else b""
            right = seen.soak.rig.records(server, each.target) + sent
            if proof != platform_rig.signature(server, each.name) or \
                    each.body != right:
                breaches.append(f"{each.name}: not the answer of {server}")
            continue
        breaches += mixed_parts(seen, each)
    return breaches


def mixed_parts(seen, each):
    parts = [part.strip() for part
             in each.headers.get("basilhoist-shard-stamps", "").split(",")]
    servers = [part.rsplit(".", 1)[0] for part in parts]
    services = {server.id: server.service for server in seen.servers}
    shards = len(seen.soak.rig.shards())
    missing = int(each.headers.get("basilhoist-missing-shards", 0))
    if any(part != platform_rig.signature(server, each.name)
           for part, server in zip(parts, servers)):
        return [f"{each.name}: a proof is not for this request"]
    if len({services[server] for server in servers}) != len(parts):
        return [f"{each.name}: two parts of one shard"]
    if len(parts) + missing != shards:
        return [f"{each.name}: {len(parts)} parts and {missing} missing"]
    if len(parts) < LEAST_COVERAGE * shards:
        return [f"{each.name}: only {len(parts)} parts"]
    if each.body != seen.soak.rig.expected_records(
            ",".join(parts), each.target):
        return [f"{each.name}: not the greatest records of its parts"]
    return []


def twice(seen):
    return [f"{name} ran {count} times" for name, count in seen.ran.items()
            if count > 1 and "-once-" in name]


def refused(seen):
    return [f"{each.name}: {each.status}, and it has run"
            for each in seen.soak.attempts if each.kind == "once"
            and each.status in (408, 421, 429, 503) and seen.ran[each.name]]


def denied(seen):
    return [f"{each.name}: {each.status}" for each in seen.soak.attempts
            if 300 <= each.status < 500 and each.status not in (408, 421, 429)
            and each.valid
            and not soak_workspaces.allowed_refusal(seen, each)]


def late_arrivals(seen, since, until, server, bound_s, what):
    """Arrivals of single requests, which reach no relay, after a bound."""
    return [f"{name} reached {server.id} {at - since:.2f} s after it {what}"
            for at, name, reached in seen.arrivals
            if reached is server and since + bound_s < at < until
            and ("-get-" in name or "-once-" in name)
            and name in seen.attempts
            and seen.attempts[name].sent > since + bound_s
            and seen.in_touch(seen.router_of(name), since, at)]


def draining(seen):
    breaches = []
    by_id = {server.id: server for server in seen.servers}
    for event in seen.of("drain"):
        server = by_id[event.more["server"]]
        later = [at for at in server.run_starts if at > event.begin]
        breaches += late_arrivals(seen, event.begin, min(later, default=1e12),
                                  server, DRAIN_S, "drained")
    return breaches


def evacuated(seen):
    breaches = []
    for event in seen.of("evacuate"):
        for server in seen.servers:
            if server.zone == event.more["zone"]:
                breaches += late_arrivals(seen, event.begin, event.end, server,
                                          EVACUATION_S, "was evacuated")
    return breaches


def restarted(seen, router, since, until):
    return any(each.begin <= until and each.end >= since
               and each.router in (None, router)
               for each in seen.out if each.what in ("kill", "term", "freeze"))


def leaving(seen):
    """By each router for itself, in touch or not."""
    breaches = []
    told = {}  # (router, server, run) to the time of its first such answer
    for server in seen.servers:
        for name, at in server.said_leaving:
            if name in seen.attempts and "-all-" not in name:
                key = (seen.router_of(name), server, server.run_at(at))
                answered = seen.attempts[name].ended
                told[key] = min(told.get(key, answered), answered)
    for at, name, server in seen.arrivals:
        if name not in seen.attempts or "-all-" in name:
            continue
        router = seen.router_of(name)
        since = told.get((router, server, server.run_at(at)))
        if since is not None and seen.attempts[name].sent > since + DRAIN_S \
                and not restarted(seen, router, since, at):
            breaches.append(f"{name} reached {server.id} "
                            f"{at - since:.2f} s after it said it leaves")
    return breaches


def quiet(seen):
    breaches = []
    for server in seen.servers:
        for name, at, wait in server.said_quiet:
            if "-all-" in name or "poison" in name:
                continue
            router = seen.router_of(name)
            inside = [each for each, begin in server.arrived
                      if at + QUIET_SETTLE_S < begin < at + wait
                      and seen.router_of(each) == router
                      and "-all-" not in each and "poison" not in each]
            if len(inside) > MOST_IN_QUIET and not restarted(seen, router, at,
                                                             at + wait):
                breaches.append(f"{server.id} got {len(inside)} requests from "
                                f"router {router} while it was to be left "
                                f"alone for {wait:.1f} s")
    return breaches


def limited(seen):
    """By plain requests, whose router is known; restarts and freezes excuse."""
    breaches = []
    for event in seen.of("limit"):
        server, rate = event.more["server"], event.more["rate"]
        told = {}
        for name, at in server.said_limit:
            if event.begin <= at <= event.end and name in seen.attempts \
                    and "-all-" not in name:
                told.setdefault(seen.router_of(name), at)
        run = server.run_at(event.begin)  # the next one names no limit
        times = [at for name, at in server.arrived
                 if event.begin <= at <= event.end and server.run_at(at) == run
                 and name in seen.attempts
                 and "-all-" not in name and seen.router_of(name) in told
                 and at >= told[seen.router_of(name)] + LIMIT_HEARD_S
                 and not restarted(seen, seen.router_of(name), at - CONTACT_S,
                                   at)]
        allowed = LIMIT_OVERSHOOT * rate * LIMIT_WINDOW_S + LIMIT_SLACK
        for index, at in enumerate(times):
            inside = index + 1 - bisect.bisect(times, at - LIMIT_WINDOW_S)
            if at >= event.begin + CONTACT_S and inside > allowed:
                breaches.append(f"{server.id} got {inside} requests in "
                                f"{LIMIT_WINDOW_S} s, limited to {rate}/s")
                break
    return breaches


def contained(seen):
    times = [at for at, _, name in seen.soak.rig.crash_log if POISON in name
             or "-poison-" in name]
    if len(times) < CRASHES:
        return []
    since = times[CRASHES - 1] + CONTACT_S
    late = [(name, at) for at, name, _ in seen.arrivals
            if "-poison-" in name and at > since
            and all(seen.in_touch(router, at, at)
                    for router in seen.may_have_sent(name))]
    if len({name for name, _ in late}) <= MOST_REPEATS:
        return []
    return [f"{len(late)} arrivals after the third crash, as {late[0][0]} "
            f"{late[0][1] - times[CRASHES - 1]:.1f} s after it"]


def budget(seen):
    """Arrivals beyond the first of each request at a service."""
    breaches = []
    by_service = collections.defaultdict(list)
    for at, name, server in seen.arrivals:
        by_service[server.service].append((at, name))
    sent = {kind: sorted(each.sent for each in seen.soak.attempts
                         if each.kind in kind)
            for kind in (("all",), ("get", "once"))}
    for service, arrivals in by_service.items():
        requests = sent[("all",) if service.startswith("shard")
                        else ("get", "once")]
        met, extra = set(), []
        for at, name in arrivals:
            if name in met:
                extra.append(at)
            met.add(name)
        for index, at in enumerate(extra):
            inside = index + 1 - bisect.bisect(extra, at - BUDGET_WINDOW_S)
            most = max(bisect.bisect(requests, at - back)
                       - bisect.bisect(requests, at - back - BUDGET_WINDOW_S)
                       for back in (0, 5, 10))
            if inside > BUDGET_RATIO * most + BUDGET_FIXED:
                breaches.append(f"{service}: {inside} extra arrivals for "
                                f"{most} requests")
                break
    return breaches


def attempts_kept(seen):
    reached = collections.defaultdict(set)
    for server in seen.servers:
        for name, _ in server.ran:
            reached[(name, server.service)].add(server.id)
    over = [(name, service) for (name, service), ids in reached.items()
            if len(ids) > MOST_ATTEMPTS]
    if len(over) <= 3:
        return []
    return [f"{name} ran on {len(reached[(name, service)])} servers of "
            f"{service}" for name, service in over]


def in_time(seen):
    return [f"{each.name} ended after {each.ended - each.sent:.2f} s"
            for each in seen.soak.attempts
            if each.ended - each.sent > each.wait_ms / 1000 + LATE_S
            and seen.in_touch(each.router, each.sent, each.ended)]


def lost(seen):
    """Connections that end without an answer, only signals being about."""
    found = []
    hard = [each for each in seen.out if each.what in ("kill", "freeze")]
    for each in seen.soak.attempts:
        if each.status or each.ended - each.sent > each.wait_ms / 1000:
            continue
        if any(event.begin - 0.1 <= each.ended
               and event.end + CONTACT_S >= each.sent
               and event.router in (None, each.router) for event in hard):
            continue
        passed_on = each.name in seen.ran
        if passed_on:
            found.append(f"{each.name} was passed on and its connection ended "
                         "without an answer")
    return found if len(found) > ALLOWED_LOST else []


def ended(seen):
    return [f"router {each.router} ended with code {each.more['code']}"
            for each in seen.of("unexpected_end")]


def recovered(seen):
    after = [each for each in seen.soak.attempts if each.sent > seen.calm
             and each.valid]
    good = [each for each in after if each.status == 200
            and each.headers.get("basilhoist-missing-shards", "0") == "0"]
    if after and len(good) >= 0.95 * len(after):
        return []
    return [f"{len(good)} of {len(after)} requests whole after the faults"]


CHECKS = (mixed, twice, refused, denied, draining, evacuated, leaving, quiet,
          limited, contained, budget, attempts_kept, in_time, lost, ended,
          recovered, soak_workspaces.attributed, soak_workspaces.rejected_keys)


def check(soak, calm, more_checks=()):
    """Returns {promise: breaches}."""
    seen = Seen(soak, calm)
    return {each.__name__: found for each in (*CHECKS, *more_checks)
            if (found := each(seen))}

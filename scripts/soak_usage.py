"""Usage limits in a soak, and a workspace that exceeds its usual rate."""

import collections
import random
import threading
import time

import soak_workspaces

# Of the rule: requests of a workspace that servers may run in any window.
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20
USUAL_PER_S = 3.0
TIMES = (5, 12)  # the usual rate, during a surge
CALLERS = 6
# Binds at once, only in the largest surges, or never.
SURGE_LIMITS = (6, 18, 0)
# No workspace may be served less than this part as often as all.
FAIR_PART = 0.25
LEAST_JUDGED = 20  # requests, so that a few lost ones do not count


class Surges:
    """Callers of one workspace that send more for some seconds."""

    def __init__(self, workspaces, seed):
        self.random = random.Random(f"surges of {seed}")
        self.workspaces = workspaces
        self.active = threading.Event()
        self.times = 1.0
        self.next_at = 0.0  # set when the load begins
        self.first_delay = self.random.uniform(2, 5)
        rate = SURGE_LIMITS[seed // 3 % len(SURGE_LIMITS)]
        workspaces.limits[soak_workspaces.SURGING] = (rate, rate)

    def run_due(self, soak):
        if time.monotonic() < self.next_at:
            return
        span = self.random.uniform(2, 4)
        self.times = self.random.uniform(*TIMES)
        self.next_at = time.monotonic() + span + self.random.uniform(3, 6)
        soak.used["surge"] = soak.used.get("surge", 0) + 1
        soak.note("surge", span, times=self.times)
        self.active.set()
        soak.at(span, self.active.clear)

    def wait(self, chance):
        """Until the next request of one caller."""
        period = chance.uniform(0.5, 1.5) * CALLERS / USUAL_PER_S
        if self.active.is_set():
            time.sleep(period / self.times)
        else:
            self.active.wait(period)

    def choose(self, _):
        """Returns (key, whether it is valid)."""
        return self.workspaces.current[soak_workspaces.SURGING][0], True


def most_in_window(times):
    times, most, first = sorted(times), 0, 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def within_limits(seen):
    """A request counts once, however many servers run it."""
    first = {}
    for server in seen.servers:
        for name, at in server.ran:
            if name in seen.attempts:
                first[name] = min(at, first.get(name, at))
    times = collections.defaultdict(list)
    for name, at in first.items():
        times[seen.attempts[name].key.workspace].append(at)
    breaches = []
    for name, (rate, burst) in seen.soak.workspaces.limits.items():
        allowed = (rate * WINDOW_S + burst) * (1 + OVERSHOOT) + SLACK
        if rate and (most := most_in_window(times[name])) > allowed:
            breaches.append(f"{name}: {most} requests in {WINDOW_S} s, "
                            f"{allowed:.0f} allowed")
    return breaches


def refused_by_limit(attempt):
    return attempt.status == 429 and b"usage limit" in attempt.body


def below_limit(seen):
    """A workspace far below its limit is not refused because of it."""
    return [f"{each.name} of {each.key.workspace} got 429 at {each.ended}"
            for each in seen.soak.attempts
            if each.valid and refused_by_limit(each)
            and each.key.workspace in soak_workspaces.NAMES
            and seen.in_touch(each.router, each.sent, each.ended)]


def fairly_served(seen):
    """During surges; only the workspace that surges may be served less."""
    surges = seen.of("surge")
    sent, served = collections.Counter(), collections.Counter()
    for each in seen.soak.attempts:
        if each.valid and any(surge.begin <= each.sent <= surge.end
                              for surge in surges):
            sent[each.key.workspace] += 1
            served[each.key.workspace] += each.status == 200
    if not sent:
        return []
    share = served.total() / sent.total()
    return [f"{served[name]} of {sent[name]} requests of {name} were served, "
            f"{share:.2f} of all"
            for name in soak_workspaces.NAMES if sent[name] >= LEAST_JUDGED
            and served[name] < FAIR_PART * share * sent[name]]


CHECKS = (within_limits, below_limit, fairly_served)


def counts(soak):
    return {"surge_limit": soak.workspaces.limits[soak_workspaces.SURGING][0],
            "usage_refused": sum(map(refused_by_limit, soak.attempts))}

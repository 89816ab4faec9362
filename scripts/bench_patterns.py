"""Load patterns of bad days, replayed against real routers.

Each pattern is a fan-out load while something is wrong. Reported are the
tail, the coverage and the extra load, beside what could be reached at best:
the coverage with each shard that has a living server, and one send a shard.
"""

import concurrent.futures
import time

import platform_rig

ROUTERS = 4
SHARDS = 12
RATE_PER_S = 25
SECONDS = 6.0
CALLERS = 48
OBJECTIVE_S = 0.25  # of the rig's route over all shards
PAUSE_S = 0.15
PAUSE_EVERY_S = 3.6
SLOW_SHARE = 0.15
LOST_SHARE = 0.05


class Pattern:
    """Disturbs a rig while it is under load."""

    def __init__(self, rig):
        self.rig = rig
        self.shard_servers = [each for each in rig.backends.values()
                              if each.service.startswith("shard")]
        self.best_coverage = 1.0

    def begin(self):
        """Before the load."""

    def turn(self, since):
        """Now and then, with the seconds since the load began."""


class Calm(Pattern):
    pass


class Pauses(Pattern):
    """Each server stops for 150 ms every 3.6 s, at a time of its own."""

    def begin(self):
        self.due = {each.id: self.rig.random.uniform(0, PAUSE_EVERY_S)
                    for each in self.shard_servers}

    def turn(self, since):
        for each in self.shard_servers:
            if since < self.due[each.id]:
                continue
            each.paused_until = time.monotonic() + PAUSE_S
            self.due[each.id] += PAUSE_EVERY_S


class SlowServers(Pattern):
    """15 in 100 servers take 12 times as long, all day."""

    def begin(self):
        count = round(len(self.shard_servers) * SLOW_SHARE)
        for each in self.rig.random.sample(self.shard_servers, count):
            each.mode = "slow"


class ShardWithoutServers(Pattern):
    """All servers of one shard are dead; their entries stay."""

    def begin(self):
        for each in self.rig.of("shard-0"):
            self.rig.crash(each.id)
        self.best_coverage = 1 - 1 / SHARDS


class LostAnswers(Pattern):
    """5 in 100 replies are lost with their connections."""

    def begin(self):
        for each in self.shard_servers:
            each.lost_share = LOST_SHARE


class RoutersRestarted(Pattern):
    """All routers are killed at once and started again."""

    def begin(self):
        self.done = False

    def turn(self, since):
        if self.done or since < SECONDS / 3:
            return
        self.done = True
        for number in list(self.rig.processes):
            self.rig.kill(number)
        for number in range(ROUTERS):
            self.rig.start_router(number)


PATTERNS = {"calm": Calm, "pauses": Pauses, "slow_servers": SlowServers,
            "shard_without_servers": ShardWithoutServers,
            "lost_answers": LostAnswers, "routers_restarted": RoutersRestarted}


def ask(rig, number):
    began = time.monotonic()
    status, headers, _ = rig.ask(number % ROUTERS, f"/all/{number}",
                                 wait_ms=800, timeout=2)
    took = time.monotonic() - began
    missing = int(headers.get("basilhoist-missing-shards", 0))
    covered = 1 - missing / SHARDS if status == 200 else 0.0
    return began, took, covered


def play(rig, pattern):
    """Returns the answers as (time asked, seconds taken, coverage)."""
    pattern.begin()
    began = time.monotonic()
    asked = []
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        while (since := time.monotonic() - began) < SECONDS:
            pattern.turn(since)
            if len(asked) < since * RATE_PER_S:
                asked.append(pool.submit(ask, rig, len(asked)))
            time.sleep(0.002)
    return began, [each.result() for each in asked]


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def seconds_until_good(began, answers, best):
    """From the load's start until all later answers are in time and whole."""
    bad = [at - began for at, took, covered in answers
           if took > OBJECTIVE_S or covered < best]
    return max(bad, default=0.0)


def measure(name, seed):
    rig, logs = platform_rig.open_rig(routers=ROUTERS, shards=SHARDS,
                                      seed=seed)
    with logs:
        try:
            rig.start()
            for number in range(2 * ROUTERS):  # connections are warm
                ask(rig, number)
            pattern = PATTERNS[name](rig)
            runs = sum(len(each.ran) for each in pattern.shard_servers)
            began, answers = play(rig, pattern)
            runs = sum(len(each.ran) for each in pattern.shard_servers) - runs
        finally:
            rig.stop()
    took = [each[1] for each in answers if each[2] > 0] or [0.0]
    covered = [each[2] for each in answers]
    in_time = sum(1 for each in answers
                  if each[2] > 0 and each[1] <= OBJECTIVE_S)
    needed = sum(round(each * SHARDS) for each in covered)
    return {
        "p50": (1000 * quantile(took, 0.5), "ms"),
        "p99": (1000 * quantile(took, 0.99), "ms"),
        "in_time": (in_time / len(answers), "share"),
        "coverage": (sum(covered) / len(covered), "share"),
        "best_coverage": (pattern.best_coverage, "share"),
        "extra_load": (runs / max(1, needed) - 1, "share"),
        "last_bad": (seconds_until_good(began, answers,
                                        pattern.best_coverage), "s"),
    }


REST_S = 1.0  # that all servers of a service ask for
ASKING_S = 0.6  # in which callers meet such servers
RETURNING = 60  # callers
TOGETHER_S = 0.05


def ask_until_served(rig, number, arrivals):
    """A caller that comes back once, when it is told to."""
    began = time.monotonic()
    for _ in range(2):
        arrivals.append(time.monotonic())
        status, headers, _ = rig.ask(number % ROUTERS, f"/get/{number}",
                                     wait_ms=4000, timeout=6)
        if status == 200:
            return True, time.monotonic() - began
        time.sleep(float(headers.get("retry-after", 0)))
    return False, time.monotonic() - began


def measure_returns(seed):
    """All servers of a service ask for rest; refused callers come back."""
    rig, logs = platform_rig.open_rig(routers=ROUTERS, shards=2, seed=seed)
    with logs:
        try:
            rig.start()
            servers = rig.of("single")
            began = time.monotonic()
            for each in servers:
                each.retry_after = str(REST_S)
            arrivals, asked = [], []
            with concurrent.futures.ThreadPoolExecutor(RETURNING) as pool:
                for number in range(RETURNING):
                    asked.append(pool.submit(ask_until_served, rig, number,
                                             arrivals))
                    time.sleep(ASKING_S / RETURNING)
                time.sleep(max(0, began + REST_S - time.monotonic()))
                for each in servers:
                    each.retry_after = None
                answers = [each.result() for each in asked]
            disturbed = sum(1 for each in servers
                            for _, at in each.arrived if at < began + REST_S)
        finally:
            rig.stop()
    late = [at for at in arrivals if at > began + ASKING_S]
    together = max((sum(first <= at < first + TOGETHER_S for at in late)
                    for first in late), default=0)
    took = [each[1] for each in answers]
    return {
        "served": (sum(each[0] for each in answers) / RETURNING, "share"),
        "most_in_50_ms": (together, "callers"),
        "sends_while_resting": (disturbed, "sends"),
        "p99": (1000 * quantile(took, 0.99), "ms"),
    }


def run(logs, seed):
    del logs  # each rig has its own
    figures = {}
    for figure, value in measure_returns(seed).items():
        figures[f"returns_{figure}"] = value
    for name in PATTERNS:
        for figure, value in measure(name, seed).items():
            figures[f"{name}_{figure}"] = value
    for name in PATTERNS:
        figures[f"{name}_p99_over_calm"] = (
            figures[f"{name}_p99"][0] / figures["calm_p99"][0], "ratio")
    return figures

"""A rollout in a soak: the order, what the platform does, and checks."""

import random
import time

import soak_checks

SERVICE, OLD, NEW = "single", "v1", "v2"
DURATION_S = 12.0
SHARE, SLACK, ROLLBACK_MS = 0.1, 50, 5000
BOUNDS = {"canaryShare": SHARE, "canarySlack": SLACK,
          "rollbackMs": ROLLBACK_MS}
BAD_ANSWERS = 50  # after which a version must soon get nothing more
MAX_SKEW_S = 15.0  # by which an unstable store may extend the deadline
# Servers of the target that crash. One crash is no fault of a version.
EXCUSING_CRASHES = 2
FINAL = ("completed", "rolled_back")
FAULTS = {"good": "well", "failing": "fail", "slow": "slow"}
POLL_SLACK_S = 0.2
DRAIN_AFTER_S, STOP_AFTER_S = 3.0, 6.0


class Rollout:
    """One order, for a version that is good, failing or slow by the seed."""

    def __init__(self, rig, seed):
        self.rig = rig
        rig.bounds = BOUNDS
        chance = random.Random(f"rollout of {seed}")
        # Seeds in a row differ in kind and in how servers come back.
        self.kind = sorted(FAULTS)[seed // 2 % len(FAULTS)]
        self.next_at = 0.0  # set when the load begins
        self.first_delay = chance.uniform(0.5, 2)
        self.ordered_at = None
        self.finals = []  # (state, when it was seen), of each change
        self.version_in_use = OLD

    def good(self):
        return self.kind == "good"

    def state(self):
        made = self.rig.store.kinds.get("rollouts", {}).get(SERVICE)
        return ((made or {}).get("status") or {}).get("state")

    def run_due(self, soak):
        now = time.monotonic()
        if self.ordered_at is None:
            if now >= self.next_at:
                self._order(soak)
            return
        state = self.state()
        if state in FINAL and (not self.finals
                               or self.finals[-1][0] != state):
            self.finals.append((state, now))
            if len(self.finals) == 1:
                self._follow(soak, state)

    def _order(self, soak):
        soak.used["rollout"] = 1
        self.ordered_at = time.monotonic()
        count = len(self.rig.of(SERVICE))
        self.rig.call(self.rig.store.put, "rollouts", SERVICE,
                      {"service": SERVICE, "targetVersion": NEW,
                       "durationS": DURATION_S})
        self.rig.start_version(SERVICE, NEW, count, fault=FAULTS[self.kind])

    def _follow(self, soak, state):
        """What the platform does once it sees the final status."""
        if state == "completed":
            self.version_in_use = NEW
            self._each(OLD, lambda server: self.rig.do(server.retire()))
            return
        soak.at(DRAIN_AFTER_S, lambda: self._each(
            NEW, lambda server: server.crashed
            or self.rig.call(server.drain)))
        soak.at(STOP_AFTER_S, lambda: self._each(
            NEW, lambda server: self.rig.do(server.retire())))

    def _each(self, version, work):
        for server in self.rig.of(SERVICE):
            if server.version == version:
                work(server)

    def pending(self):
        return (self.ordered_at is not None and not self.finals and
                time.monotonic() < self.ordered_at + DURATION_S + MAX_SKEW_S)


def targets(seen):
    return [server for server in seen.servers if server.version == NEW]


def exposed(seen):
    """All requests that reached a bad version, of those at the service."""
    rollout = seen.soak.rollout
    if rollout.ordered_at is None or rollout.good():
        return []
    until = rollout.ordered_at + DURATION_S
    asked = {name for at, name, server in seen.arrivals
             if server.service == SERVICE
             and rollout.ordered_at <= at <= until}
    got = sum(len(server.arrived) for server in targets(seen))
    if got <= SHARE * len(asked) + SLACK:
        return []
    return [f"the {rollout.kind} version got {got} of {len(asked)} requests"]


def rolled_back(seen):
    """Nothing is sent to a bad version some time after its bad answers, or
    after its end was seen in the store."""
    rollout = seen.soak.rollout
    if rollout.ordered_at is None or rollout.good():
        return []
    clocks = time.time() - time.monotonic()
    bad = sorted(at - clocks for server in targets(seen)
                 for _, at in server.ran)
    ends = [at for state, at in rollout.finals if state == "rolled_back"]
    ends += bad[BAD_ANSWERS - 1:BAD_ANSWERS]
    if not ends:
        return []
    bound_s = ROLLBACK_MS / 1000
    return [f"{name} reached {server.id} {at - min(ends):.1f} s after its "
            "version was to be rolled back"
            for at, name, server in seen.arrivals
            if server.version == NEW and name in seen.attempts
            and seen.attempts[name].sent > min(ends) + bound_s
            and seen.in_touch(seen.router_of(name), at - bound_s, at)]


def ended_right(seen):
    """A final status in time, which is the right one and stays."""
    rollout = seen.soak.rollout
    if rollout.ordered_at is None:
        return []
    if not rollout.finals:
        return [f"the {rollout.kind} version has no final status"]
    breaches = []
    deadline = rollout.ordered_at + DURATION_S
    skew = sum(each.end - each.begin + soak_checks.CONTACT_S
               for each in seen.of("store") if each.begin <= deadline
               and each.end + soak_checks.CONTACT_S >= rollout.ordered_at)
    state, at = rollout.finals[0]
    if at > deadline + min(skew, MAX_SKEW_S) + POLL_SLACK_S:
        breaches.append(f"{state} {at - rollout.ordered_at:.1f} s after the "
                        "order")
    ids = {server.id for server in targets(seen)}
    crashed = {server for when, server, _ in seen.soak.rig.crash_log
               if server in ids and when <= at}
    excused = rollout.good() and len(crashed) >= EXCUSING_CRASHES
    right = "completed" if rollout.good() else "rolled_back"
    if state != right and not excused:
        breaches.append(f"the {rollout.kind} version was {state}")
    if len(rollout.finals) > 1:
        breaches.append(f"the status changed: {rollout.finals}")
    return breaches


CHECKS = (exposed, rolled_back, ended_right)


def counts(soak):
    rollout = soak.rollout
    return {"rollout": [rollout.kind, *(
        f"{state} after {at - rollout.ordered_at:.1f} s"
        for state, at in rollout.finals)]}

"""Checks the history of a run against the promises of the tier.

A history holds what callers saw (`answers`), what the stand-ins ran (`runs`),
what the stand-ins counted (`counters`), what operators and the schedule did
(`events`) and which document versions instances held over time (`versions`).
Times are wall-clock seconds. Each check returns the breaches it found, as
sentences; an empty list keeps the promise.
"""

import collections
import dataclasses

IN_FORCE_S = 3.0

PROMISES = ("one_snapshot", "true_coverage", "cold_start", "domain_out",
            "own_answer", "not_run", "at_most_once", "leaving",
            "graceful_stop", "configuration")


@dataclasses.dataclass
class History:
    """Everything that is known of a run."""

    answers: list = dataclasses.field(default_factory=list)
    runs: list = dataclasses.field(default_factory=list)
    counters: dict = dataclasses.field(default_factory=dict)
    events: list = dataclasses.field(default_factory=list)
    versions: list = dataclasses.field(default_factory=list)
    # Shards of each version: {group: {version: set of shard names}}.
    shard_maps: dict = dataclasses.field(default_factory=dict)
    # Failure domain of each backend server.
    domain_of: dict = dataclasses.field(default_factory=dict)
    crashes_caused: int = 0


def _done_runs(history):
    done = collections.defaultdict(set)
    for run in history.runs:
        if run["outcome"] == "done":
            done[run["request_id"]].add((run["shard"], run["version"]))
    return done


def one_snapshot(history):
    breaches = []
    done = _done_runs(history)
    for answer in history.answers:
        if answer["verdict"] != "done":
            continue
        for shard in answer["shards"]:
            if (shard, answer["version"]) not in done[answer["id"]]:
                breaches.append(f"{answer['id']}: {shard} was not run at "
                                f"version {answer['version']}")
    return breaches


def true_coverage(history):
    breaches = []
    for answer in history.answers:
        if answer["verdict"] != "done":
            continue
        shards = history.shard_maps[answer["group"]].get(answer["version"])
        stated = set(answer["shards"]) | {
            each["shard"] for each in answer["missing"]}
        if shards is None:
            breaches.append(f"{answer['id']}: version {answer['version']} "
                            "was never published")
        elif answer["lookup"] or answer["once"]:
            if answer["total"] != 1 or not stated <= shards:
                breaches.append(f"{answer['id']}: not one shard of the map")
        elif stated != shards or answer["total"] != len(shards):
            breaches.append(f"{answer['id']}: states {len(stated)} of "
                            f"{len(shards)} shards")
        if len(answer["shards"]) != answer["answered"]:
            breaches.append(f"{answer['id']}: answered {answer['answered']} "
                            f"but holds {len(answer['shards'])}")
    return breaches


def cold_start(history):
    breaches = []
    for name, counts in history.counters.items():
        for key in ("most_over_window", "most_over_slots"):
            if counts[key] > 0:
                breaches.append(f"{name}: {key} {counts[key]}")
        if counts["most_connections"] > counts["connections_limit"]:
            breaches.append(f"{name}: {counts['most_connections']} connections")
    crashes = sum(each["crashes"] for each in history.counters.values())
    if crashes > history.crashes_caused:
        breaches.append(f"{crashes - history.crashes_caused} servers fell over")
    return breaches


def _out_of_service(history, kind):
    """Yields (name, from, until) of what was taken out, each grace included."""
    open_since = {}
    for event in sorted(history.events, key=lambda each: each["at"]):
        if event.get("kind") != kind:
            continue
        if event["what"] == "drain":
            open_since.setdefault(event["name"], event["at"] + IN_FORCE_S)
        elif event["what"] == "return" and event["name"] in open_since:
            yield event["name"], open_since.pop(event["name"]), event["at"]
    for name, since in open_since.items():
        yield name, since, float("inf")


def _work_while_out(history, kind, name_of):
    breaches = []
    for name, since, until in _out_of_service(history, kind):
        for run in history.runs:
            at = run["at_us"] / 1e6
            if name_of(run) == name and since < at < until:
                breaches.append(f"{run['request_id']} ran on {run['server']} "
                                f"{at - since + IN_FORCE_S:.1f} s after "
                                f"{name} was taken out")
    return breaches


def domain_out(history):
    return _work_while_out(history, "failure_domain",
                           lambda run: history.domain_of[run["server"]])


def leaving(history):
    return _work_while_out(history, "backend_server",
                           lambda run: run["server"])


def own_answer(history):
    return [f"{answer['id']}: the answer is not its own or not right"
            for answer in history.answers if not answer["right"]]


def not_run(history):
    ran = {run["request_id"] for run in history.runs}
    kept = {answer["id"] for answer in history.answers
            if answer["verdict"] != "not_run"}
    return [f"{answer['id']}: said not_run, but it ran"
            for answer in history.answers
            if answer["verdict"] == "not_run" and answer["id"] in ran
            and answer["id"] not in kept]


def at_most_once(history):
    count = collections.Counter(run["request_id"] for run in history.runs
                                if run["once"])
    return [f"{request} ran {times} times"
            for request, times in count.items() if times > 1]


def graceful_stop(history):
    """A cut request is allowed only at an instance that was killed."""
    killed = {event["entry"] for event in history.events
              if event["what"] in ("kill", "freeze")}
    return [f"{answer['id']}: cut at {answer['entry']}"
            for answer in history.answers
            if answer["verdict"] == "cut" and answer["entry"] not in killed]


def configuration(history):
    breaches = []
    highest = {}
    for seen in sorted(history.versions, key=lambda each: each["at"]):
        key = (seen["entry"], seen["incarnation"], seen["document"])
        if seen["version"] < highest.get(key, 0):
            breaches.append(f"{seen['entry']}: {seen['document']} went back to "
                            f"{seen['version']}")
        highest[key] = max(seen["version"], highest.get(key, 0))
    disturbed = [event for event in history.events
                 if event["what"] in ("kill", "freeze", "stop", "cut")]
    for event in history.events:
        if event["what"] != "accepted":
            continue
        due = event["at"] + IN_FORCE_S
        for seen in history.versions:
            late = (seen["document"] == event["document"]
                    and due < seen["at"] and seen["version"] < event["version"])
            excused = any(each["entry"] == seen["entry"]
                          and each["at"] - IN_FORCE_S < seen["at"]
                          < each["until"] + IN_FORCE_S
                          for each in disturbed)
            if late and not excused:
                breaches.append(
                    f"{seen['entry']}: {event['document']} version "
                    f"{event['version']} not in force "
                    f"{seen['at'] - event['at']:.1f} s after it was accepted")
    return breaches


def check(history):
    """Returns {promise: breaches}."""
    return {name: globals()[name](history) for name in PROMISES}

"""A seeded schedule of faults over real processes, and its history."""

import json
import pathlib
import random
import signal
import threading
import time

import bench_common as common
import fleet
import history

MIX_SHARE = 0.25
ONCE_RATE = 25
POLL_S = 0.25
ONCE_GROUP = {"quetzal": "club-notices", "sao-bang": "club-portal"}


class Chaos:
    """Disturbs one site while it is under load, and records what happens."""

    def __init__(self, site, seed, seconds, kinds=None):
        self.site = site
        self.random = random.Random(seed)
        self.seconds = seconds
        self.until = 0.0
        self.kinds = kinds or sorted(self.FAULTS)
        self.events = []
        self.versions = []
        self.used = {}
        self.disturbed = set()  # entries that are down, frozen or cut now
        self.drained = []
        self.crashes = 0
        self.split = False
        self.later = []  # (time, function)
        self.polling = True

    # Events.

    def note(self, what, **more):
        self.events.append({"what": what, "at": time.time(), **more})

    def note_entry(self, what, number, span):
        now = time.time()
        self.events.append({"what": what, "at": now, "until": now + span,
                            "entry": self.site.entry_address(number)})

    def at(self, delay, function):
        self.later.append((time.time() + delay, function))

    def pick_entry(self):
        free = [n for n in range(self.site.count) if n not in self.disturbed]
        # A majority must stay undisturbed, or nothing can be served at all.
        if len(self.disturbed) >= 2:
            return None
        return self.random.choice(free)

    def pick_server(self):
        return self.random.choice(sorted(self.domains()))

    def back(self, number):
        self.disturbed.discard(number)

    # Faults.

    def kill(self):
        number = self.pick_entry()
        if number is None:
            return False
        self.disturbed.add(number)
        self.note_entry("kill", number, 6)
        self.site.kill(f"entry-{number}")
        self.at(self.random.uniform(0.3, 2),
                lambda: self.site.start_entry(number))
        self.at(4, lambda: self.back(number))
        return True

    def freeze(self):
        number = self.pick_entry()
        if number is None:
            return False
        self.disturbed.add(number)
        span = self.random.uniform(1, 6)
        self.note_entry("freeze", number, span + 2)
        process = self.site.processes[f"entry-{number}"]
        process.send_signal(signal.SIGSTOP)
        self.at(span, lambda: process.send_signal(signal.SIGCONT))
        self.at(span + 2, lambda: self.back(number))
        return True

    def restart(self):
        number = self.pick_entry()
        if number is None:
            return False
        self.disturbed.add(number)
        self.note_entry("stop", number, 6)
        process = self.site.processes.pop(f"entry-{number}")
        process.terminate()

        def again():
            if process.poll() is None:
                self.at(0.2, again)
                return
            self.site.start_entry(number)
        self.at(0.5, again)
        self.at(5, lambda: self.back(number))
        return True

    def cut(self):
        number = self.pick_entry()
        if number is None:
            return False
        self.disturbed.add(number)
        others = [self.site.entry_name(n) for n in range(self.site.count)
                  if n != number]
        span = self.random.uniform(1, 4)
        self.note_entry("cut", number, span + 2)
        url = f"http://{self.site.ops(number)}/experiment/cut"
        fleet.http("POST", url, others, timeout=2)
        self.site.platform(cut=[self.site.entry_address(number)])

        def heal():
            fleet.http("POST", url, [], timeout=2)
            self.site.platform(cut=[])
        self.at(span, heal)
        self.at(span + 2, lambda: self.back(number))
        return True

    def store_down(self):
        way = self.random.choice(("down", "refuse"))
        self.site.platform(**{way: True})
        self.at(self.random.uniform(1, 4),
                lambda: self.site.platform(**{way: False}))
        return True

    def store_slow(self):
        self.site.platform(slow_ms=300)
        self.at(2, lambda: self.site.platform(slow_ms=2))
        return True

    def lose_answers(self):
        self.site.platform(lose_answers=self.random.randint(1, 4))
        return True

    def crash_server(self):
        self.crashes += 1
        self.site.backends(servers=[self.pick_server()], crash=True)
        return True

    def slow_server(self):
        name = self.pick_server()
        self.site.backends(servers=[name], slow_factor=8)
        self.at(3, lambda: self.site.backends(servers=[name], slow_factor=1))
        return True

    def cross_replies(self):
        name = self.pick_server()
        self.site.backends(servers=[name], cross_replies=True)
        self.at(2, lambda: self.site.backends(servers=[name],
                                              cross_replies=False))
        return True

    def drain(self):
        if self.drained:
            return False
        domain = self.random.choice(self.site.info["domains"])
        servers = sorted(self.domains())
        kind, name = self.random.choice(
            (("failure_domain", domain),
             ("backend_server", self.random.choice(servers))))
        self.drained.append(name)
        threading.Thread(target=self.drain_and_return,
                         args=(kind, name)).start()
        return True

    def drain_and_return(self, kind, name):
        word = "domain" if kind == "failure_domain" else "server"
        if self.change("drain", word, kind, name):
            time.sleep(5)
            self.change("return", word, kind, name)
        self.drained.clear()

    def change(self, action, word, kind, name):
        for _ in range(12):
            # Work may come back as soon as the change is asked for.
            if action == "return":
                self.note("return", kind=kind, name=name)
            code, out, _ = self.site.drain(action, word, name, "--json",
                                           f"--operation={action}-{name}-"
                                           f"{len(self.events)}")
            if code == 0:
                accepted = json.loads(out)
                if action == "drain":
                    self.note("drain", kind=kind, name=name)
                self.note("accepted", document="drains",
                          version=accepted["version"])
                return True
            time.sleep(0.5)
        return False

    def race(self):
        """Two operators apply settings at the same time."""
        def apply(number):
            code, out, _ = self.site.apply(
                "--json", f"--instances={self.site.all_ops()}",
                f"--operation=race-{number}-{len(self.events)}")
            if code == 0:
                self.note("accepted", document="config",
                          version=json.loads(out)["version"])
        for number in range(2):
            threading.Thread(target=apply, args=(number,)).start()
        return True

    def roll_index(self):
        """A new version with split shards comes, then the old one goes."""
        if self.split:
            return False
        self.split = True
        self.site.backends(newest_version=2)
        self.publish_new_index()
        return True

    def publish_new_index(self):
        """The old version goes only once the store has taken the new one."""
        if self.site.publish_index({1: False, 2: True}):
            self.at(2, lambda: self.site.backends(oldest_version=2))
        else:
            self.at(1, self.publish_new_index)

    FAULTS = {
        "kill": kill, "freeze": freeze, "restart": restart, "cut": cut,
        "store_down": store_down, "store_slow": store_slow,
        "lose_answers": lose_answers, "crash_server": crash_server,
        "slow_server": slow_server, "cross_replies": cross_replies,
        "drain": drain, "race": race, "roll_index": roll_index,
    }

    # The run.

    def domains(self):
        return {name: server["failure_domain"]
                for services in self.site.group_services().values()
                for service in services.values()
                for name, server in service.items()}

    def poll(self):
        while self.polling:
            for number in range(self.site.count):
                state = fleet.http(
                    "GET", f"http://{self.site.ops(number)}/dump",
                    timeout=0.5)[1]
                if not isinstance(state, dict) or not state.get("ready"):
                    continue
                for name, version in state["documents"].items():
                    self.versions.append({
                        "entry": self.site.entry_address(number),
                        "incarnation": state["incarnation"],
                        "document": name, "version": version,
                        "at": time.time()})
            time.sleep(POLL_S)

    def do_later(self):
        now = time.time()
        due = [item for item in self.later if item[0] <= now]
        self.later = [item for item in self.later if item[0] > now]
        for _, function in due:
            function()

    def disturb(self):
        kind = self.random.choice(self.kinds)
        if self.FAULTS[kind](self):
            self.used[kind] = self.used.get(kind, 0) + 1

    def run(self, log):
        mix = (common.mix(self.site.site, MIX_SHARE) +
               f",{ONCE_GROUP[self.site.site]}:once:{ONCE_RATE}")
        load = self.site.start_load(mix, self.seconds, "--repeat-once",
                                    "--drain-seconds=4", log=log)
        poller = threading.Thread(target=self.poll)
        poller.start()
        began = time.time()
        next_fault = began + 0.5
        while time.time() - began < self.seconds:
            self.do_later()
            if time.time() >= next_fault:
                self.disturb()
                next_fault += self.random.uniform(0.3, 1.2)
            time.sleep(0.02)
        while self.later:
            self.do_later()
            time.sleep(0.02)
        report = fleet.finish_load(load)
        self.polling = False
        poller.join()
        return report

    def history(self, log):
        services = self.site.group_services()
        maps = {group: {1: set(names),
                        2: {f"{name}.{half}" for name in names
                            for half in (0, 1)}}
                for group, names in services.items()}
        answers = [json.loads(line) for line in
                   pathlib.Path(log).read_text().splitlines()]
        return history.History(
            answers=answers, runs=self.site.runs(),
            counters=self.site.backends(), events=self.events,
            versions=self.versions, shard_maps=maps,
            domain_of=self.domains(), crashes_caused=self.crashes)


def explain(recorded, breaches, log):
    """Keeps what belongs to each breach beside the log of answers."""
    ids = {breach.split(":")[0] for found in breaches.values()
           for breach in found}
    related = [item for item in recorded.answers
               if item["id"] in ids]
    related += [item for item in recorded.runs if item["request_id"] in ids]
    if related:
        pathlib.Path(f"{log}.breaches").write_text(
            "\n".join(json.dumps(item) for item in related))


def run(site_name, logs, seed, seconds, kinds=None):
    """Returns (report of the load, breaches by promise, faults by kind)."""
    log = f"{logs}/answers-{seed}.jsonl"
    with common.start(site_name, logs, seed, keep_records=True) as site:
        common.warm_up([site])
        chaos = Chaos(site, seed, seconds, kinds)
        report = chaos.run(log)
        recorded = chaos.history(log)
        breaches = history.check(recorded)
        explain(recorded, breaches, log)
    return report, breaches, chaos.used

"""Routers as real processes under a seeded, overlapping schedule of faults.

Callers keep their connections until the process behind them is gone. What they
and the backend servers see is checked by soak_checks when the load is over.
"""

import argparse
import dataclasses
import json
import random
import signal
import socket
import sys
import threading
import time

import chaos
import platform_rig
import soak_checks
import soak_clients
import soak_pours
import soak_rollout
import soak_usage
import soak_workspaces
from platform_rig import Crashes, POISON

RATE_PER_S = 60
CALLERS = 20
KEPT_S = 6.0  # a caller changes its router after so long
KINDS = (("all", "/all/{}", "GET", 0.55, 800),
         ("get", "/get/{}", "GET", 0.3, 2000),
         ("once", "/once/{}", "POST", 0.15, 2000))
SETTLE_S = 6.0  # without faults, before the tier must be whole again
FINAL_S = 2.0
PARTS = (soak_usage, soak_rollout, soak_clients, soak_pours)


@dataclasses.dataclass
class Attempt:
    """One request of a caller, and what it saw."""

    name: str
    kind: str
    router: int
    target: str
    sent: float
    wait_ms: int
    ended: float = 0.0
    status: int = 0  # 0: the connection ended without a whole answer
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    reused: bool = False
    key: soak_workspaces.Key | None = None
    valid: bool = True  # whether its key was one to be accepted


class Link:
    """A caller's connection to one router, kept as long as it stands."""

    def __init__(self, rig, router):
        self.rig, self.router = rig, router
        self.opened = time.monotonic()
        self.used = False
        self.socket = socket.create_connection(
            (rig.router_address(router), platform_rig.CALLER_PORT), 1)
        self.file = self.socket.makefile("rb")

    def ask(self, attempt, method, body):
        attempt.reused, self.used = self.used, True
        head = (f"{method} {attempt.target} HTTP/1.1\r\nHost: {self.rig.HOST}"
                f"\r\nBasilhoist-Request-Id: {attempt.name}\r\n"
                f"Basilhoist-Timeout-Ms: {attempt.wait_ms}\r\n"
                f"Authorization: Bearer {attempt.key.text}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        self.socket.settimeout(attempt.wait_ms / 1000 + 1)
        try:
            self.socket.sendall(head.encode() + body)
            raw = b""
            while not raw.endswith(b"\r\n\r\n"):
                line = self.file.readline()
                if not line:
                    return False
                raw += line
            status, headers, _ = platform_rig.parse_answer(
                raw.replace(b"ontent-Length", b"ontent-Size"))
            size = int(headers.get("content-size", 0))
            attempt.body = self.file.read(size)
            if len(attempt.body) < size:
                return False
            attempt.status, attempt.headers = status, headers
            return headers.get("connection", "").lower() != "close"
        except OSError:
            return False

    def close(self):
        self.file.close()
        self.socket.close()


class Soak:
    """Load and faults on one rig."""

    def __init__(self, rig, seed, seconds):
        self.rig, self.seconds = rig, seconds
        self.random = random.Random(seed)
        self.limits = random.Random(f"limits of {seed}")
        self.returns = random.Random(f"returns of the store of {seed}")
        self.attempts = []
        self.events = []  # soak_checks.Event
        self.numbers = iter(range(1, 1 << 40))
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.later = []
        self.down = set()
        self.used = {}
        self.workspaces = soak_workspaces.Workspaces(rig, seed)
        self.surges = soak_usage.Surges(self.workspaces, seed)
        self.workspaces.set_tenants()
        self.rollout = soak_rollout.Rollout(rig, seed)
        self.crowds = soak_clients.Crowds(rig, self.workspaces, seed)
        self.pours = soak_pours.Pours(rig, seed)
        self.poison_target = self.random.choice(("/get/", "/all/")) + POISON

    # Load.

    def wait(self, chance):
        """Until the next request of one caller."""
        self.stopping.wait(chance.uniform(0.5, 1.5) * CALLERS / RATE_PER_S)

    def caller(self, chance, wait, choose):
        link = None
        while not self.stopping.is_set():
            wait(chance)
            if self.stopping.is_set():
                break
            if link and time.monotonic() - link.opened > KEPT_S:
                link.close()
                link = None
            if link is None:
                try:
                    link = Link(self.rig, chance.randrange(self.rig.count))
                except OSError:
                    continue
            if not self.ask(link, chance, choose):
                link.close()
                link = None
        if link:
            link.close()

    def ask(self, link, chance, choose):
        kind, path, method, _, wait_ms = chance.choices(
            KINDS, [each[3] for each in KINDS])[0]
        key, valid = choose(chance)
        with self.lock:
            number = next(self.numbers)
        attempt = Attempt(f"{link.router}-{kind}-{number}", kind, link.router,
                          path.format(number), time.monotonic(), wait_ms,
                          key=key, valid=valid)
        kept = link.ask(attempt, method, b"x" if method == "POST" else b"")
        attempt.ended = time.monotonic()
        with self.lock:
            self.attempts.append(attempt)
        return kept

    def poison(self):
        """The same request again and again, at any router."""
        number = 0
        while not self.stopping.wait(0.7):
            router = self.random.randrange(self.rig.count)
            number += 1
            self.rig.ask(router, self.poison_target,
                         request_id=f"{router}-poison-{number}", timeout=4,
                         headers={"Authorization": "Bearer "
                                  + self.workspaces.stable_key().text})

    # Faults: each returns how long it lasts, or None if it does not fit now.

    def note(self, what, span=0.0, router=None, **more):
        now = time.monotonic()
        self.events.append(soak_checks.Event(what, now, now + span, router,
                                             more))

    def at(self, delay, work):
        self.later.append((time.monotonic() + delay, work))

    def pick_router(self):
        free = [n for n in range(self.rig.count) if n not in self.down]
        if len(self.down) > self.rig.count // 3:
            return None
        return self.random.choice(free)

    def usable_servers(self):
        """None of a version that is being judged, as faults count against
        it."""
        return [each for each in self.rig.backends.values()
                if not each.crashed and each.state == "ready"
                and (each.service != soak_rollout.SERVICE
                     or each.version == self.rollout.version_in_use)]

    def pick_server(self):
        """Rather a server of the single service: there it can be told which
        router sent a request."""
        usable = self.usable_servers()
        return self.random.choices(
            usable, [3 if each.service == "single" else 1
                     for each in usable])[0]

    def start_again(self, router):
        self.rig.start_router(router)
        self.note("start", 0, router)
        self.down.discard(router)

    def kill(self, router):
        span = self.random.uniform(0.2, 1.5)
        self.down.add(router)
        self.note("kill", span, router)
        self.rig.kill(router)
        self.at(span, lambda: self.start_again(router))

    def terminate(self, router):
        self.down.add(router)
        self.note("term", 7.5, router)
        began = self.rig.has_begun(router)
        process = self.rig.terminate(router)

        def again():
            if process.poll() is None:
                self.at(0.1, again)
                return
            # Before main, a signal ends a process as it always does.
            if process.returncode != 0 and began:
                self.note("unexpected_end", 0, router, code=process.returncode)
            self.start_again(router)
        self.at(0.3, again)

    def freeze(self, router):
        span = self.random.uniform(0.3, 3)
        self.down.add(router)
        self.note("freeze", span, router)
        process = self.rig.processes[router]
        process.send_signal(signal.SIGSTOP)

        def wake():
            process.send_signal(signal.SIGCONT)
            self.down.discard(router)
        self.at(span, wake)

    def reload(self, router):
        self.rig.processes[router].send_signal(signal.SIGHUP)

    def kill_all(self, _):
        self.note("kill", 0.5)
        running = list(self.rig.processes)
        for router in running:
            self.rig.kill(router)
            self.down.add(router)
        for router in running:
            self.at(0.4, lambda router=router: self.start_again(router))

    def cut_store(self, router):
        proxy = self.rig.store_proxies[router]
        mode = self.random.choice(proxy.MODES)
        span = self.random.uniform(1, 4)
        self.note("core_cut", span, router)
        proxy.mode = mode

        def heal():
            proxy.mode = "well"
        self.at(span, heal)

    def reset_store(self, router):
        self.note("core_cut", 0, router)
        self.rig.call(self.rig.store_proxies[router].reset)

    def store_fault(self, _):
        span = self.random.uniform(0.5, 3)
        self.note("store", span)
        self.rig.store.mode = self.random.choice(("busy", "silent", "slow"))

        def heal():
            self.rig.store.mode = "up"
        self.at(span, heal)

    def drop_history(self, _):
        self.note("store", 0)
        self.rig.call(self.rig.store.drop_history)

    def net_fault(self, _):
        server = self.pick_server()
        span = self.random.uniform(0.5, 2)
        server.proxy.mode = self.random.choice(server.proxy.MODES)
        self.note("net", span, server=server.id)

        def heal():
            server.proxy.mode = "well"
        self.at(span, heal)

    def reset_connections(self, _):
        self.rig.call(self.pick_server().proxy.reset)
        self.note("net")

    def misbehave(self, _):
        server = self.pick_server()
        span = self.random.uniform(0.5, 3)
        server.mode = self.random.choice(
            ("shed", "lost", "reset", "cut", "extra", "slow", "fail"))

        def heal():
            server.mode = "well"
        self.at(span, heal)

    def crash(self, _):
        server = self.pick_server()
        self.note("crash", 0, server=server.id)
        self.rig.do(server._crash("soak"))

    def drain(self, _):
        server = self.pick_server()
        peers = [each for each in self.rig.of(server.service)
                 if not each.crashed and each.state == "ready"]
        if len(peers) < 2:
            return
        self.note("drain", 0, server=server.id)
        self.rig.call(server.drain)
        # It leaves, and another run takes its place.
        self.at(self.random.uniform(5, 9),
                lambda: self.rig.do(server._crash("soak")))

    def leave(self, _):
        server = self.pick_server()
        self.note("leave", 0, server=server.id)
        server.leaving = True
        self.at(self.random.uniform(4, 9),
                lambda: self.rig.do(server._crash("soak")))

    def ask_quiet(self, _):
        server = self.pick_server()
        span = self.random.uniform(0.6, 3)
        server.retry_after = f"{span:.3f}"
        self.note("quiet", span, server=server.id)

        def heal():
            server.retry_after = None
        self.at(span, heal)

    def name_limit(self):
        """Drawn apart, so that the schedule of the other faults stays."""
        servers = [each for each in self.rig.backends.values()
                   if each.limit is None]
        server = self.limits.choice(sorted(servers, key=lambda each: each.id))
        span = self.limits.uniform(5, 12)
        rate = self.limits.choice((0, 0.5, 1, 3, 10))
        server.limit = f"{rate:.1f}"
        self.used["name_limit"] = self.used.get("name_limit", 0) + 1
        self.note("limit", span, server=server, rate=rate)

        def heal():
            server.limit = None
        self.at(span, heal)

    def copy_store(self):
        kept = self.rig.call(self.rig.store.copy)
        self.at(self.returns.uniform(0.5, 4), lambda: self.restore_store(kept))

    def restore_store(self, kept):
        """The store comes back from a copy; what was lost is written again."""
        latest = self.rig.call(self.rig.store.copy)[0]
        span = self.returns.uniform(0.5, 2)
        self.note("store", span)
        self.used["restore_store"] = self.used.get("restore_store", 0) + 1
        self.rig.call(self.rig.store.restore, kept)

        def rewrite():
            store, now = self.rig.store, self.rig.store.kinds
            for kind in ("config", "evacuations"):
                for name, made in latest.get(kind, {}).items():
                    newest = now.get(kind, {}).get(name)
                    if newest is None or newest["spec"].get(
                            "version", 0) < made["spec"].get("version", 0):
                        store.put(kind, name, made["spec"])
                for name in set(now.get(kind, {})) - set(latest.get(kind, {})):
                    store.remove(kind, name)
            for name, made in latest.get("rollouts", {}).items():
                if name not in now.get("rollouts", {}):
                    store.put("rollouts", name, made["spec"])
            for name in set(now.get("servers", {})) - set(
                    latest.get("servers", {})):
                if name not in self.rig.backends:
                    store.remove("servers", name)
            for server in self.rig.backends.values():
                if not server.crashed and server.id in latest.get("servers",
                                                                  {}):
                    server.enter()
        self.at(span, lambda: self.rig.call(rewrite))

    def evacuate(self, _):
        zone = self.random.choice(self.rig.server_zones)
        span = self.random.uniform(3, 7)
        if any(each.what == "evacuate" and each.end > time.monotonic()
               for each in self.events):
            return
        self.note("evacuate", span, zone=zone)
        self.rig.call(self.rig.store.put, "evacuations", zone, {})
        self.at(span, lambda: self.rig.call(self.rig.store.remove,
                                            "evacuations", zone))

    def publish(self, _):
        for _ in range(self.random.choice((1, 1, 5))):
            self.rig.publish()

    FAULTS = {
        "kill": (kill, 3), "terminate": (terminate, 4), "freeze": (freeze, 3),
        "reload": (reload, 2), "kill_all": (kill_all, 0.4),
        "cut_store": (cut_store, 3), "reset_store": (reset_store, 2),
        "store_fault": (store_fault, 1.5), "drop_history": (drop_history, 1),
        "net_fault": (net_fault, 3), "reset_connections": (reset_connections, 2),
        "misbehave": (misbehave, 4), "crash": (crash, 2), "drain": (drain, 2),
        "leave": (leave, 2), "ask_quiet": (ask_quiet, 3),
        "evacuate": (evacuate, 1), "publish": (publish, 2)}

    def run_due(self, everything=False):
        now = time.monotonic()
        due = [each for each in self.later if everything or each[0] <= now]
        self.later = [each for each in self.later if each not in due]
        for _, work in sorted(due, key=lambda each: each[0]):
            work()

    def disturb(self):
        names = sorted(self.FAULTS)
        name = self.random.choices(
            names, [self.FAULTS[each][1] for each in names])[0]
        router = self.pick_router()
        if router is None:
            return
        self.used[name] = self.used.get(name, 0) + 1
        self.FAULTS[name][0](self, router)

    def run(self):
        threads = [threading.Thread(target=self.caller, args=(
            random.Random(f"{number}/{self.random.random()}"), self.wait,
            self.workspaces.choose)) for number in range(CALLERS)]
        threads += [threading.Thread(target=self.caller, args=(
            random.Random(f"surges {number}/{self.surges.random.random()}"),
            self.surges.wait, self.surges.choose))
            for number in range(soak_usage.CALLERS)]
        threads.append(threading.Thread(target=self.poison))
        for each in threads:
            each.start()
        until = time.monotonic() + self.seconds
        for each in (self.rollout, self.surges, self.crowds, self.pours):
            each.next_at = time.monotonic() + each.first_delay
        pause = limit_at = 0.0
        copy_at = time.monotonic() + self.returns.uniform(1, 5)
        rotate_at = time.monotonic() + 1
        while time.monotonic() < until:
            self.run_due()
            self.rollout.run_due(self)
            self.surges.run_due(self)
            self.crowds.run_due(self)
            self.pours.run_due(self)
            self.rig.check_alive()
            if time.monotonic() >= limit_at:
                self.name_limit()
                limit_at = time.monotonic() + self.limits.expovariate(0.3)
            if time.monotonic() >= copy_at:
                self.copy_store()
                copy_at = time.monotonic() + self.returns.uniform(4, 9)
            if time.monotonic() >= rotate_at:
                self.workspaces.rotate(self.at)
                rotate_at = time.monotonic() + 2.5
            if time.monotonic() >= pause:
                self.disturb()
                pause = time.monotonic() + self.random.expovariate(1.5)
            time.sleep(0.02)
        while self.later or self.down or self.rollout.pending():
            self.run_due()
            self.rollout.run_due(self)
            time.sleep(0.02)
        time.sleep(SETTLE_S)
        calm = time.monotonic()
        time.sleep(FINAL_S)
        self.stopping.set()
        self.surges.active.set()
        for each in threads:
            each.join()
        self.crowds.join()
        self.rig.check_alive()
        return calm


def run(logs, seed, seconds, routers):
    """Returns (breaches by promise, counts)."""
    rig = platform_rig.Rig(logs, routers=routers, shards=6, singles=9,
                           seed=seed, proxied=True,
                           crashes=Crashes(back_s=1.5,
                                           same_id=seed % 3 == 0))
    try:
        rig.store.era = 1
        soak = Soak(rig, seed, seconds)
        rig.start()
        calm = soak.run()
        breaches = soak_checks.check(soak, calm, [
            each for part in PARTS for each in part.CHECKS])
    finally:
        rig.stop()
    whole = sum(each.status == 200 for each in soak.attempts)
    return breaches, {"attempts": len(soak.attempts), "answered": whole,
                      "crashes": len(rig.crash_log), "faults": soak.used,
                      **soak_workspaces.counts(soak),
                      **{name: count for part in PARTS
                         for name, count in part.counts(soak).items()}}


def run_owners(logs, seed, seconds):
    """The same for entries and owners, the product's own caller interface."""
    report, breaches, used = chaos.run("quetzal" if seed % 2 else "sao-bang",
                                       logs, seed, seconds)
    sent = sum(group["sent"] for group in report["groups"].values())
    return ({name: found for name, found in breaches.items() if found},
            {"attempts": sent, "faults": used})


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--routers", type=int, default=6)
    parser.add_argument("--logs", default="run/soak")
    parser.add_argument("--path", choices=("routers", "owners"),
                        default="routers")
    arguments = parser.parse_args()
    folder = platform_rig.ROOT / arguments.logs / str(arguments.seed)
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.log"):
        old.unlink()
    if arguments.path == "owners":
        breaches, counts = run_owners(folder, arguments.seed,
                                      arguments.seconds)
    else:
        breaches, counts = run(folder, arguments.seed, arguments.seconds,
                               arguments.routers)
    print(json.dumps({"seed": arguments.seed, **counts}))
    for promise, found in breaches.items():
        print(f"seed {arguments.seed}: {promise}: {len(found)} breaches")
        for each in found[:5]:
            print(f"  {each}")
    sys.exit(1 if any(breaches.values()) else 0)


if __name__ == "__main__":
    main()

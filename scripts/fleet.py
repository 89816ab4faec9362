"""Starts and stops fleets of entries and stand-ins on loopback addresses.

Used by scripts/demo, scripts/bench and the tests of whole processes. Every
process is started here, and only processes started here are ended.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
BASE = ROOT / "examples" / "base.json"

CALLER_PORT = 8080
OPS_PORT = 8081
LINK_PORT = 8082
STORE_PORT = 7000

# Loopback networks are shared by all runs on the machine: each fleet claims
# a slot of its own by a port that it keeps bound. Its processes hold the port,
# too, so that those which outlive a killed run keep others out.
SLOTS = 7
SLOT_STEP = 32
CLAIM_PORT = 7999
LAST_LOG_LINES = 15


class UnexpectedEnd(RuntimeError):
    """A process ended though nobody ended it."""


def claim_slot(net):
    """Returns (number, socket) of a slot that no other fleet of this site has."""
    for number in range(SLOTS):
        claim = socket.socket()
        try:
            claim.bind((f"127.{net + SLOT_STEP * number}.0.254", CLAIM_PORT))
            return number, claim
        except OSError:
            claim.close()
    raise RuntimeError(f"all {SLOTS} slots of loopback addresses are taken")


SITES = {
    "quetzal": {
        "overlay": ROOT / "examples" / "quetzal.json",
        "net": 10,
        "domains": ["gt-central-a", "gt-central-b", "gt-central-c",
                    "gt-central-d"],
    },
    "sao-bang": {
        "overlay": ROOT / "examples" / "sao-bang.json",
        "net": 11,
        "domains": ["hcm-a", "hcm-b", "can-tho", "vung-tau"],
    },
}


def http(method, url, body=None, headers=None, timeout=10):
    """Returns (status, parsed JSON or text, headers); status 0: no answer."""
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, _parse(reply.read()), dict(reply.headers)
    except urllib.error.HTTPError as error:
        return error.code, _parse(error.read()), dict(error.headers)
    except (urllib.error.URLError, OSError):
        return 0, None, {}


def _parse(raw):
    try:
        return json.loads(raw)
    except ValueError:
        return raw.decode(errors="replace")


class Fleet:
    """One site: its platform stand-in, backend stand-ins and entries."""

    def __init__(self, site, logs, entries=8, seed=1, typical_us=10000,
                 slow_share=0.02, hop_delay_us=1500, distance_us=1500,
                 balancer_lag_ms=1000, baseline=False, records=True,
                 overlay=None, sharing="one-owner"):
        self.site = site
        self.info = SITES[site]
        self.overlay = pathlib.Path(overlay or self.info["overlay"])
        self.logs = pathlib.Path(logs)
        self.logs.mkdir(parents=True, exist_ok=True)
        self.count = entries
        self.seed = seed
        self.typical_us = typical_us
        self.slow_share = slow_share
        self.hop_delay_us = hop_delay_us
        self.distance_us = distance_us
        self.balancer_lag_ms = balancer_lag_ms
        self.baseline = baseline
        self.records = records
        self.sharing = sharing
        self.processes = {}
        self.files = []
        slot, self.claim = claim_slot(self.info["net"])
        self.net = self.info["net"] + SLOT_STEP * slot
        self.overlay = self._moved_overlay()
        self.store_address = f"127.{self.net + 20}.0.1"
        self.store = f"{self.store_address}:{STORE_PORT}"
        self.index_version = 0

    def _moved_overlay(self):
        """The overlay with backend servers in this fleet's own network."""
        text = self.overlay.read_text().replace(
            f"127.{self.info['net'] + 10}.", f"127.{self.net + 10}.")
        moved = self.logs / f"{self.net}-{self.overlay.name}"
        moved.write_text(text)
        return moved

    # Processes.

    def check_alive(self):
        """Raises if a process has ended that nobody ended."""
        for name, process in self.processes.items():
            if process.poll() is None:
                continue
            log = self.logs / f"{self.site}-{name}.log"
            lines = log.read_text(errors="replace").splitlines()
            raise UnexpectedEnd(
                f"{name} ended with code {process.returncode}; its last lines:"
                "\n" + "\n".join(lines[-LAST_LOG_LINES:]))

    def _start(self, name, words):
        log = open(self.logs / f"{self.site}-{name}.log", "ab")
        self.files.append(log)
        self.processes[name] = subprocess.Popen(
            [str(word) for word in words], stdout=log, stderr=log,
            cwd=ROOT, pass_fds=[self.claim.fileno()])

    def start(self):
        self.start_platform()
        self.start_backends()
        self.publish_instances()
        self.publish_index()
        self.apply()
        for number in range(self.count):
            self.start_entry(number)
        self.wait_ready()
        return self

    def start_platform(self):
        self._start("platform", [
            BUILD / "basilhoist-standin-platform",
            f"--address={self.store_address}", f"--port={STORE_PORT}"])
        self._wait(lambda: http("GET", f"http://{self.store}/control")[0] == 200)

    def start_backends(self):
        for index, domain in enumerate(self.info["domains"]):
            words = [
                BUILD / "basilhoist-standin-backends", f"--base={BASE}",
                f"--overlay={self.overlay}", f"--failure-domain={domain}",
                f"--control={self.control(index)}", f"--seed={self.seed}",
                f"--typical-us={self.typical_us}",
                f"--slow-share={self.slow_share}",
                f"--distance-us={self.distance_us}"]
            if not self.records:
                words.append("--no-records")
            self._start(f"backends-{index}", words)
        for index in range(len(self.info["domains"])):
            self._wait(lambda i=index: http(
                "GET", f"http://{self.control(i)}/control")[0] == 200)

    def start_entry(self, number, *extra):
        domain = number % len(self.info["domains"])
        words = [
            BUILD / "basilhoist-entry", f"--site={self.site}",
            f"--name={self.entry_name(number)}",
            f"--failure-domain={self.info['domains'][domain]}",
            f"--address={self.entry_address(number)}",
            f"--store={self.store}", f"--peers={self.peers()}",
            f"--balancer-lag-ms={self.balancer_lag_ms}",
            f"--hop-delay-us={self.hop_delay_us}", f"--seed={self.seed + number}",
            f"--sharing={self.sharing}", "--experiments", *extra]
        if self.baseline:
            words.append("--baseline")
        self._start(f"entry-{number}", words)

    def signal(self, name, what):
        self.processes[name].send_signal(what)

    def kill(self, name):
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def terminate(self, name, timeout=20):
        """Ends a process gracefully; returns its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout)

    def stop(self):
        try:
            self.check_alive()
        finally:
            self._end_all()

    def _end_all(self):
        self.claim.close()
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        for file in self.files:
            file.close()

    def __enter__(self):
        return self.start()

    def __exit__(self, kind, *_):
        # A failure inside is the first cause and is not to be covered.
        if kind is None:
            self.stop()
        else:
            self._end_all()

    # Addresses.

    def control(self, domain_index):
        return f"127.{self.net + 10}.{domain_index}.250:9100"

    def entry_name(self, number):
        return f"entry-{number + 1}"

    def entry_address(self, number):
        domain = number % len(self.info["domains"])
        return f"127.{self.net}.{domain}.{number // 4 + 1}"

    def entry(self, number):
        return f"{self.entry_address(number)}:{CALLER_PORT}"

    def ops(self, number):
        return f"{self.entry_address(number)}:{OPS_PORT}"

    def peers(self):
        return ",".join(f"{self.entry_address(n)}:{LINK_PORT}"
                        for n in range(min(self.count, 8)))

    def all_entries(self):
        return ",".join(self.entry(n) for n in range(self.count))

    def all_ops(self):
        return ",".join(self.ops(n) for n in range(self.count))

    # The platform.

    def platform(self, **settings):
        return http("POST", f"http://{self.store}/control", settings)[1]

    def publish_instances(self, gone=()):
        self.platform(instances=[
            {"name": self.entry_name(n), "state": "live",
             "link": f"{self.entry_address(n)}:{LINK_PORT}"}
            for n in range(self.count) if n not in gone])

    def put_document(self, name, content):
        url = f"http://{self.store}/v1/objects/{self.site}.doc"
        status, present, _ = http("GET", f"{url}/{name}")
        revision = present["revision"] if status == 200 else 0
        written = {"name": name, "revision": revision,
                   "content": json.dumps(content)}
        if revision == 0:
            return http("POST", url, written)[0] == 200
        return http("PUT", f"{url}/{name}", written)[0] == 200

    def group_services(self):
        return {name: group["services"]
                for name, group in self.settings()["service_groups"].items()}

    def settings(self):
        """The overlay; its comments stand on lines of their own."""
        lines = [line for line in self.overlay.read_text().splitlines()
                 if not line.lstrip().startswith("//")]
        return json.loads("\n".join(lines))

    def publish_index(self, versions=None):
        """versions: {number: split}; split shards have two halves each."""
        self.index_version += 1
        groups = {}
        for name, services in self.group_services().items():
            listed = []
            for number, split in sorted((versions or {1: False}).items()):
                shards = {}
                for service, servers in services.items():
                    names = sorted(servers)
                    if split:
                        shards[f"{service}.0"] = names
                        shards[f"{service}.1"] = names
                    else:
                        shards[service] = names
                listed.append({"version": number, "shards": shards})
            groups[name] = {"versions": listed}
        return self.put_document(
            "index", {"version": self.index_version, "groups": groups})

    # Backend servers.

    def backends(self, domain_index=None, **settings):
        which = (range(len(self.info["domains"])) if domain_index is None
                 else [domain_index])
        result = {}
        for index in which:
            result.update(http("POST", f"http://{self.control(index)}/control",
                               settings)[1] or {})
        return result

    def runs(self, once=False):
        result = []
        for index in range(len(self.info["domains"])):
            suffix = "?once=1" if once else ""
            got = http("GET", f"http://{self.control(index)}/runs{suffix}",
                       timeout=30)[1]
            result.extend(got or [])
        return result

    # Operators.

    def ctl(self, *words):
        """Returns (exit code, standard output, standard error)."""
        done = subprocess.run([str(BUILD / "basilhoist-ctl"),
                               *[str(word) for word in words]],
                              capture_output=True, text=True, timeout=60,
                              check=False)
        return done.returncode, done.stdout, done.stderr

    def apply(self, *extra):
        return self.ctl("apply", BASE, self.overlay, f"--store={self.store}",
                        *extra)

    def drain(self, action, kind, name, *extra):
        return self.ctl(action, kind, name, f"--site={self.site}",
                        f"--store={self.store}",
                        f"--instances={self.all_ops()}", *extra)

    def status(self, number):
        return http("GET", f"http://{self.ops(number)}/dump", timeout=2)[1]

    # Load.

    def start_load(self, mix, seconds, *extra, log=None):
        words = [
            str(BUILD / "basilhoist-load"), f"--base={BASE}",
            f"--overlay={self.overlay}", f"--entries={self.all_entries()}",
            f"--mix={mix}", f"--seconds={seconds}", f"--seed={self.seed}",
            f"--typical-us={self.typical_us}",
            f"--slow-share={self.slow_share}",
            f"--distance-us={self.distance_us}", *extra]
        if log:
            words.append(f"--log={log}")
        return subprocess.Popen(words, stdout=subprocess.PIPE, text=True,
                                cwd=ROOT)

    def load(self, mix, seconds, *extra, log=None):
        return finish_load(self.start_load(mix, seconds, *extra, log=log))

    # Waiting.

    def wait_ready(self, timeout=15):
        for number in range(self.count):
            self.wait_entry(number, timeout)
        self._wait(self.settled, timeout)

    def wait_entry(self, number, timeout=15):
        self._wait(lambda: http("GET", f"http://{self.ops(number)}/readyz",
                                timeout=1)[0] == 200, timeout)

    def settled(self):
        """Every entry sees a view that holds all entries, none of them out."""
        for number in range(self.count):
            state = self.status(number)
            if not isinstance(state, dict) or not state["lease_valid"]:
                return False
            if len(state["members"]) != self.count or state["out"]:
                return False
        return True

    def _wait(self, condition, timeout=15):
        until = time.monotonic() + timeout
        while not condition():
            self.check_alive()
            if time.monotonic() > until:
                raise TimeoutError("a process did not get ready in time")
            time.sleep(0.05)


def finish_load(process, timeout=90):
    out, _ = process.communicate(timeout=timeout)
    return json.loads(out.strip().splitlines()[-1])


def cpu_seconds(process):
    """Processor time that a process has used so far."""
    fields = (pathlib.Path("/proc") / str(process.pid) / "stat").read_text()
    user, system = fields.rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

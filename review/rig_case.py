"""What the scripts of the review share: the project's rig with the deployed
program, settings like those of DEPLOY.md, and a record of what is seen.

Exit codes of a case: 1 the rule was broken, 0 it held, 2 it couldn't run.
TROUBLE=0 in the environment leaves the disruption out.
"""

import os
import pathlib
import socket
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
import platform_rig  # noqa: E402

platform_rig.ROUTER = ROOT / "target" / "basilhoist-router"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseRig(platform_rig.Rig):
    """The rig with all fields of a settings file of a small deployment."""

    def settings(self, number):
        zones = {zone: "z" for zone in self.ZONES}
        return {
            **super().settings(number), "machineClass": "edge",
            "serves": ["edge", "control_plane"], "region": "z",
            "zones": zones, "bootstrap": True, "lossCounts": False,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260,
                       "maxFds": 4100, "bandwidthMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "scatter", "places", "platform"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"seedLagS": 3, "addressReuseS": 2, "contactMs": 4000,
                       "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": 3000,
                       "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
                       "downgradeMs": 250, "maxSkewMs": 12000,
                       "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                       "budgetMinRetries": 56, "warmupOvershoot": 1.5,
                       "warmupSlack": 5, "evacuationMs": 5000,
                       "recoveryS": 12},
            "platform": {
                "address": f"{self.store_address(number)}:"
                           f"{platform_rig.STORE_PORT}",
                "form": "objects", "writesPerS": 400, "readsPerS": 2000,
                "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000}}

    def routing(self, version, **changes):
        """Single requests may take 6 s, as on the users' sites."""
        table = super().routing(version, **changes)
        for route in table["routes"]:
            if "service" in route:
                route["timeoutMs"] = 6000
        return table

    def ran(self, request_id):
        """Servers that have begun to work on a request."""
        return [server.id for server in self.all_runs
                for name, _ in list(server.ran) if name == request_id]


class Record:
    """Lines with the time since the start, in record.txt of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            print(f"{time.monotonic() - self.began:8.3f} {text}",
                  file=self.file, flush=True)


class Answer:
    """What a caller has seen: status, headers and body, or how it ended."""

    def __init__(self, raw, ended):
        self.raw, self.ended = raw, ended
        head, found, self.body = raw.partition(b"\r\n\r\n")
        self.status, self.headers = 0, {}
        if not found:
            return
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split()[1])
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()

    @property
    def length(self):
        return int(self.headers.get("content-length", 0))

    @property
    def whole(self):
        return self.status > 0 and len(self.body) >= self.length


class Caller:
    """A caller with a kept connection; it may read slowly."""

    def __init__(self, rig, router, segment=None, window=None, timeout=15):
        self.rig = rig
        self.link = socket.socket()
        if segment:
            self.link.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG,
                                 segment)
        if window:
            self.link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.link.settimeout(timeout)
        self.link.connect((rig.router_address(router),
                           platform_rig.CALLER_PORT))

    def send(self, request_id, path, method="GET", body=b"", wait_ms=800,
             headers=()):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.rig.HOST}",
                 f"Basilhoist-Request-Id: {request_id}",
                 f"Basilhoist-Timeout-Ms: {wait_ms}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.link.sendall(head + body)
        return len(head)

    def receive(self, bytes_per_s=None):
        """Reads until the answer is whole or the connection ends."""
        raw, ended = b"", "whole"
        until = time.monotonic()
        while not (answer := Answer(raw, ended)).whole:
            try:
                chunk = self.link.recv(8192 if bytes_per_s else 65536)
            except OSError as error:
                return Answer(raw, f"{type(error).__name__}: {error}")
            if not chunk:
                return Answer(raw, "closed by the router")
            raw += chunk
            if bytes_per_s:
                until += len(chunk) / bytes_per_s
                time.sleep(max(0, until - time.monotonic()))
        return answer

    def close(self):
        self.link.close()


def run(folder, play, **options):
    """Plays a case on a rig; play(rig, record) returns HELD or BROKEN."""
    result, record = NOT_RUN, Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    try:
        # For the routers' settings and logs.
        with tempfile.TemporaryDirectory() as logs:
            rig = CaseRig(logs, **options)
            try:
                rig.start()
                record(f"{rig.count} routers are ready")
                result = play(rig, record)
            finally:
                rig.stop()
    except Exception:  # noqa: BLE001 - anything else means: it couldn't run
        record(traceback.format_exc())
        traceback.print_exc()
        result = NOT_RUN
    record({HELD: "the rule held", BROKEN: "the rule was broken",
            NOT_RUN: "the case couldn't run"}[result])
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result])
    sys.exit(result)

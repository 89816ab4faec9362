"""What the scripts of cases 6 to 10 share: a small deployment on loopback.

Routers are the program that the deploy file builds. Store, backend servers and
consumers are the project's own stand-ins (scripts/platform_rig.py); what is
added here follows the users' pages. Durations are in seconds, sizes in bytes.
"""

import http.client
import itertools
import os
import pathlib
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import platform_rig  # noqa: E402

platform_rig.ROUTER = ROOT / "target" / "basilhoist-router"

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of record.txt: what was sent, answered and run, by time."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.file = self.path.open("w")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def line(self, *words):
        text = " ".join(str(word) for word in words)
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class Consumer:
    """One consumer: keeps its connection as long as the router does."""

    names = itertools.count(1)

    def __init__(self, rig, record, router, wait_s):
        self.rig, self.record, self.router = rig, record, router
        self.wait_s = wait_s
        self.link = None
        self.used = False  # whether the connection has carried an answer

    def close(self):
        if self.link is not None:
            self.link.close()
        self.link, self.used = None, False

    def ask(self, method, path, body=None, headers=None):
        """@return (request id, status, headers, body, whether the connection
        was kept from an earlier request); status 0 if it ended without a whole
        answer"""
        name = f"c{os.getpid():x}n{next(self.names):06d}"
        kept = self.used
        if self.link is None:
            self.link = http.client.HTTPConnection(
                self.rig.router_address(self.router),
                platform_rig.CALLER_PORT, timeout=self.wait_s + 2)
        fields = {"Host": self.rig.HOST, "Basilhoist-Request-Id": name,
                  "Basilhoist-Timeout-Ms": str(int(self.wait_s * 1000)),
                  **(headers or {})}
        self.record.line("sent", name, method, path, f"router-{self.router}")
        try:
            self.link.request(method, path, body, fields)
            answer = self.link.getresponse()
            content = answer.read()
        except (OSError, http.client.HTTPException) as error:
            self.record.line("closed", name, type(error).__name__)
            self.close()
            return name, 0, {}, b"", kept
        given = {key.lower(): value for key, value in answer.getheaders()}
        self.record.line("answered", name, answer.status)
        self.used = True
        if answer.will_close:
            self.close()
        return name, answer.status, given, content, kept


def resident_bytes(pid):
    """@return resident memory of a process; 0 once it has ended"""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
        return int(text.split("VmRSS:")[1].split()[0]) * 1024
    except (OSError, IndexError):
        return 0


def open_rig(**options):
    """@return (rig, folder of its logs, a temporary one)"""
    logs = tempfile.TemporaryDirectory()
    return platform_rig.Rig(logs.name, **options), logs

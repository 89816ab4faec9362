"""Small crowds of unruly clients in a soak."""

import pathlib
import random
import socket
import threading
import time

import platform_rig
import soak_workspaces

CLIENTS = 10  # of each shape
BODY_BYTES = 262_144  # maxBodyBytes of the rig
CHUNK = b"1\r\nc\r\n"
# Chunks of one byte whose frames together are as large as a body.
CHUNKS = BODY_BYTES // len(CHUNK)
SEND_S = 0.5
STAY_S = 2.5
MEMORY_BOUND_KB = 48 * 1024  # above idle
LEAST_JUDGED = 8  # requests of ordinary callers while a crowd stays


class Crowds:
    """Clients that come to one router, stay for some time and leave."""

    def __init__(self, rig, workspaces, seed):
        self.rig, self.workspaces = rig, workspaces
        self.random = random.Random(f"crowds of {seed}")
        self.next_at = 0.0  # set when the load begins
        self.first_delay = self.random.uniform(1, 4)
        self.numbers = iter(range(1, 1 << 40))
        self.threads = []

    def run_due(self, soak):
        if time.monotonic() < self.next_at:
            return
        self.next_at = time.monotonic() + self.random.uniform(3, 6)
        router = self.random.randrange(self.rig.count)
        if router not in self.rig.processes or router in soak.down:
            return
        soak.used["crowd"] = soak.used.get("crowd", 0) + 1
        soak.note("crowd", STAY_S, router)
        pid = self.rig.processes[router].pid
        thread = threading.Thread(target=self._stay,
                                  args=(router, pid, soak.events[-1]))
        thread.start()
        self.threads.append(thread)

    def join(self):
        for thread in self.threads:
            thread.join()

    def _stay(self, router, pid, event):
        idle = memory_kb(pid, "VmRSS")
        until = time.monotonic() + STAY_S
        links = []
        for shape in (self._short_body, self._small_chunks, self._unread) * \
                CLIENTS:
            try:
                link = socket.socket()
                links.append(link)
                if shape == self._unread:
                    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                link.settimeout(SEND_S)
                link.connect((self.rig.router_address(router),
                              platform_rig.CALLER_PORT))
                link.sendall(shape(router))
            except OSError:
                pass  # refused, closed, or the router is frozen or gone
        time.sleep(max(0.0, until - time.monotonic()))
        most = memory_kb(pid, "VmHWM")
        if idle and most:
            event.more["grown_kb"] = most - idle
        for link in links:
            link.close()

    def _head(self, router, field):
        key = self.workspaces.current[soak_workspaces.UNRULY][0].text
        return (f"POST /once/crowd HTTP/1.1\r\nHost: {self.rig.HOST}\r\n"
                f"Basilhoist-Request-Id: {router}-crowd-{next(self.numbers)}"
                f"\r\nBasilhoist-Timeout-Ms: 2000\r\n"
                f"Authorization: Bearer {key}\r\n{field}\r\n\r\n").encode()

    def _short_body(self, router):
        return self._head(router, f"Content-Length: {BODY_BYTES}") + \
            b"b" * (BODY_BYTES - 1)

    def _small_chunks(self, router):
        return self._head(router, "Transfer-Encoding: chunked") + \
            CHUNK * CHUNKS

    def _unread(self, router):
        return self._head(router, f"Content-Length: {BODY_BYTES}") + \
            b"u" * BODY_BYTES


def memory_kb(pid, field):
    """None if the process has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
        return int(text.split(f"{field}:")[1].split()[0])
    except (OSError, IndexError):
        return None


def memory_kept(seen):
    return [f"router {each.router} has grown by {grown} KB"
            for each in seen.of("crowd")
            if (grown := each.more.get("grown_kb", 0)) >= MEMORY_BOUND_KB]


def ordinary_answered(seen):
    breaches = []
    for event in seen.of("crowd"):
        if not seen.in_touch(event.router, event.begin, event.end):
            continue
        asked = [each for each in seen.soak.attempts
                 if each.router == event.router and each.valid
                 and event.begin <= each.sent <= event.end]
        if len(asked) >= LEAST_JUDGED and \
                not any(each.status == 200 for each in asked):
            breaches.append(f"none of {len(asked)} requests at router "
                            f"{event.router} was answered beside a crowd")
    return breaches


CHECKS = (memory_kept, ordinary_answered)


def counts(soak):
    grown = [each.more.get("grown_kb", 0) for each in soak.events
             if each.what == "crowd"]
    return {"crowd_kb": max(grown, default=0)}

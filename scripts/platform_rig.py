"""A platform on loopback: store, backend servers, callers, and real routers.

Speaks the platform's published protocol, so that scripts/demo and the tests of
whole processes play the platform path with no bench. Everything but the
routers runs in this process, in one event loop on a thread of its own.
"""

import asyncio
import bisect
import collections
import copy
import dataclasses
import functools
import hashlib
import json
import math
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

import soak_proxy

ROOT = pathlib.Path(__file__).resolve().parent.parent
ROUTER = ROOT / "build" / "basilhoist-router"

CALLER_PORT, READY_PORT, OPS_PORT, PEER_PORT = 8104, 8108, 8106, 7380
STORE_PORT, SERVER_PORT, CLAIM_PORT = 8102, 8080, 7998
BEHIND_PROXY = 1  # added to the port of what stands behind a proxy
SILENCE_S = 3600
HEARTBEAT_MS = 1200
HISTORY = 4000
LAST_LOG_LINES = 15
RECORD = 16
OBJECTS = "/basilhoist/objects/"


class UnexpectedEnd(RuntimeError):
    """A router ended though nobody ended it."""


def signature(server, request_id):
    """A proof that a reply is this server's and for this request."""
    text = f"{server}/{request_id}".encode()
    return f"{server}.{hashlib.sha256(text).hexdigest()[:12]}"


async def read_request(reader):
    """Returns (method, target, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            name = name.strip().lower()
            before = f"{headers[name]}, " if name in headers else ""
            headers[name] = before + value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def reply_bytes(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """Objects by kind and name, with watches and a bounded history."""

    def __init__(self):
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.dropped = 0
        self.changed = asyncio.Event()
        self.mode = "up"  # up, busy, silent, slow
        self.status = None  # text that its answers have as their status
        self.cut = set()  # its own addresses at which it does not answer
        self.calls = 0
        self.calls_at = collections.Counter()  # by its own address
        self.call_times = []
        self.writers = set()
        self.era = None  # sent with each answer, if set
        self.raw = {}  # texts that stand for values "RAW:key" in answers

    def copy(self):
        """What a drill may bring back: objects and revision."""
        return copy.deepcopy((self.kinds, self.revision))

    def restore(self, kept):
        """Comes back from a copy; revisions after it are given out again."""
        self.kinds, self.revision = copy.deepcopy(kept)
        self.events = [each for each in self.events
                       if each[0] <= self.revision]
        self.dropped = min(self.dropped, self.revision)
        if self.era is not None:
            self.era += 1
        self._wake()

    def put(self, kind, name, spec, status=None):
        self.revision += 1
        made = {"meta": {"name": name, "revision": self.revision,
                         "finalizers": [], "deleting": False},
                "spec": spec, "status": status}
        self.kinds.setdefault(kind, {})[name] = made
        self._tell(kind, {"object": made, "deleted": False})
        return made

    def remove(self, kind, name):
        made = self.kinds.get(kind, {}).pop(name, None)
        if made:
            self.revision += 1
            gone = dict(made, meta=dict(made["meta"], revision=self.revision))
            self._tell(kind, {"object": gone, "deleted": True})

    def drop_history(self):
        self.events.clear()
        self.dropped = self.revision

    def _tell(self, kind, event):
        self.events.append((self.revision, kind, event))
        del self.events[:-HISTORY]
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        # On loopback all routers call from one address; each calls its own.
        called = writer.get_extra_info("sockname")[0]
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                self.calls += 1
                self.calls_at[called] += 1
                self.call_times.append(time.monotonic())
                if self.mode == "silent" or called in self.cut:
                    await asyncio.sleep(SILENCE_S)
                if self.mode == "slow":
                    await asyncio.sleep(0.3)
                if self.mode == "busy":
                    writer.write(reply_bytes(503, headers=self._headers()))
                else:
                    status, body = await self._answer(*request)
                    if called in self.cut:  # a watch that waited meanwhile
                        await asyncio.sleep(SILENCE_S)
                    writer.write(reply_bytes(self.status or status,
                                             self._encode(body),
                                             self._headers()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer or the rig has ended
        finally:
            self.writers.discard(writer)
            writer.close()

    def _encode(self, body):
        text = json.dumps(body).encode()
        for key, raw in self.raw.items():
            text = text.replace(f'"RAW:{key}"'.encode(), raw)
        return text

    def _headers(self):
        return [] if self.era is None else [("Store-Era", str(self.era))]

    async def _answer(self, method, target, _, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if not url.path.startswith(OBJECTS):
            return 404, {}
        kind, _, name = url.path[len(OBJECTS):].partition("/")
        name, _, part = name.partition("/")
        name = urllib.parse.unquote(name)
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]),
                                     int(query.get("waitMs", 0)))
        if method == "GET" and not name:
            names = sorted(n for n in objects if n > query.get("after", ""))
            page = names[:50]
            return 200, {"items": [objects[n] for n in page],
                         "hasMore": len(names) > len(page),
                         "currentRev": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            if name not in objects:
                return 404, {}
            gone = objects[name]
            self.remove(kind, name)
            return 200, gone
        sent = json.loads(body)
        if method == "POST":
            name = sent["meta"]["name"]
            if name in objects:
                return 409, objects[name]
        elif name not in objects:
            return 404, {}
        expected = sent["meta"].get("revision")
        if method == "PUT" and expected not in (
                None, objects[name]["meta"]["revision"]):
            return 409, objects[name]
        before = objects.get(name, {})
        if part == "status":
            if before["status"] == sent["status"]:
                return 200, before
            return 200, self.put(kind, name, before["spec"], sent["status"])
        return 200, self.put(kind, name, sent["spec"], before.get("status"))

    async def _watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if since < self.dropped or since > self.revision:
                return 410, {}
            events = [event for revision, of, event in self.events
                      if of == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# What servers in trouble send without end: what comes first, and again and
# again.
ENDLESS = {
    "endless_body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
    "endless_chunks": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                       b"\r\n", b"8000\r\n" + b"x" * 32768 + b"\r\n"),
    "endless_head": (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n" * 400),
    # Each write ends inside a field.
    "endless_short_fields": (b"HTTP/1.1 200 OK\r\na", b":\r\na" * 4096),
    "endless_interim_fields": (b"HTTP/1.1 103 Early Hints\r\na",
                               b":\r\na" * 4096),
    "endless_trailers": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         b"\r\n0\r\n", b"a:\r\n" * 4096),
    "endless_chunk_head": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                           b"\r\n\r\n5;x=", b"x" * 16384),
    "endless_line": (b"HTTP/1.1 200 OK\r\nX-More: ", b"x" * 65536),
    "endless_interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 400),
    "endless_noise": (b"", b"\x00\xff" * 32768),
}
POUR_PERIOD_S = 0.004
LEAVING = ("Server-Leaving", "1")

# A request with this in its target ends each server that begins to run it.
POISON = "poison"
# An entry lapses after three status reports that did not come.
LAPSE_S = 3 * HEARTBEAT_MS / 1000


@dataclasses.dataclass(frozen=True)
class Crashes:
    """How servers end on a request with POISON in its target."""

    back_s: float = math.inf  # until they listen again
    same_id: bool = False  # the next run has the same id
    close: bool = False  # connections end in order instead of with a reset
    run_ms: float = 2  # from the begin of the request to the end


class Backend:
    """One backend server: slots, a queue, proofs, and ways to misbehave."""

    def __init__(self, rig, name, service, address, zone, slots=2,
                 work_ms=10):
        self.rig, self.id, self.service = rig, name, service
        self.address, self.zone, self.slots = address, zone, slots
        self.work_ms = work_ms
        self.running = 0
        self.queue = 12
        self.free = asyncio.Semaphore(slots)
        self.state = "ready"
        self.version = "v1"  # of its software
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.mode = "well"  # well, shed, lost, reset, cut, extra, slow, fail
        self.fault = "well"  # mode of each run at its start
        self.retired = False  # it does not come back
        self.paused_until = 0.0
        self.warmup_left_ms = 0
        self.crashed = False
        self.lost_share = 0.0  # of its replies
        self.leaving = False  # it says so in its replies
        self.status = None  # text that its answers have as their status
        self.refusal = []  # headers of its answers that tell it has not run
        self.retry_after = None  # text that it refuses requests with
        self.limit = None  # text of the rate limit that its replies name
        self.arrived = []  # (request id, time), refused ones too
        self.heads = {}  # headers by request id, if the rig keeps them
        self.run_starts = []  # times; under one id there may be several runs
        self.said_leaving = []  # (request id, time)
        self.said_quiet = []  # (request id, time, wait in s)
        self.said_limit = []  # (request id, time) of replies that name one
        rig.all_runs.append(self)
        self.server = None
        self.proxy = soak_proxy.Proxy() if rig.proxied else None
        self.ran = []  # (request id, time)
        self.cut_work = 0
        self.copies = {}  # by connection: what comes before the next answer
        self.copied = 0  # second copies that it has sent
        self.poured = 0  # answers without end that it has begun
        self.writers = set()

    async def start(self):
        self.run_starts.append(time.monotonic())
        port = SERVER_PORT + (BEHIND_PROXY if self.proxy else 0)
        self.server = await asyncio.start_server(self._serve, self.address,
                                                 port)
        if self.proxy:
            await self.proxy.start(self.address, SERVER_PORT, self.address,
                                   port)
        self.enter()

    async def stop(self):
        if self.proxy:
            await self.proxy.stop()
        self.server.close()
        for writer in list(self.writers):
            if self.rig.crashes.close:
                writer.close()
            else:
                writer.transport.abort()
        await self.server.wait_closed()

    async def _crash(self, request_id):
        """Ends as a process does; its entry lapses, and it may come back."""
        if self.crashed:
            return
        self.crashed = True
        self.rig.crash_log.append((time.monotonic(), self.id, request_id))
        await self.stop()
        self.rig.later(LAPSE_S, self._lapse)
        if math.isfinite(self.rig.crashes.back_s):
            self.rig.later(self.rig.crashes.back_s, self._come_back)

    async def _lapse(self):
        if self.crashed:
            self.rig.store.remove("servers", self.id)

    async def retire(self):
        """Ends for good, and its entry goes."""
        self.retired = True
        self.rig.backends.pop(self.id, None)
        if not self.crashed:
            self.crashed = True
            await self.stop()
        self.rig.store.remove("servers", self.id)

    async def _come_back(self):
        if self.retired:
            return
        next_run = self
        if not self.rig.crashes.same_id:
            name = f"{self.id.partition('+')[0]}+{len(self.rig.crash_log)}"
            next_run = Backend(self.rig, name, self.service, self.address,
                               self.zone, self.slots, self.work_ms)
            del self.rig.backends[self.id]
            self.rig.backends[name] = next_run
        next_run.crashed = False
        next_run.running = 0
        next_run.free = asyncio.Semaphore(self.slots)
        next_run.born = max(self.born + 1, int(time.time() * 1000))
        next_run.sequence = 0
        next_run.version, next_run.fault = self.version, self.fault
        next_run.state, next_run.mode = "ready", self.fault
        next_run.leaving, next_run.retry_after = False, None
        next_run.limit, next_run.status, next_run.refusal = None, None, []
        if next_run.proxy:
            next_run.proxy.mode = "well"
        await next_run.start()

    def enter(self):
        self.sequence += 1
        self.rig.store.put("servers", self.id, {
            "service": self.service,
            "address": f"{self.address}:{SERVER_PORT}", "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "warmupLeftMs": self.warmup_left_ms, "sequence": self.sequence, "born": self.born})

    def run_at(self, when):
        """The number of the run that lived then."""
        return bisect.bisect(self.run_starts, when)

    def leave_list(self):
        """Its entry goes; it goes on to listen, to see who still sends."""
        self.rig.store.remove("servers", self.id)

    def drain(self):
        self.state = "draining"
        self.enter()

    def restart_cold(self, warmup_ms):
        """A new run under the same id, which bears little at first."""
        self.born += 1
        self.warmup_left_ms = warmup_ms
        self.enter()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if late := self.copies.pop(writer, None):
                    writer.write(late)
                    await writer.drain()
                    self.copied += 1
                if not await self._handle(reader, writer, *request):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer or the rig has ended
        finally:
            self.writers.discard(writer)
            self.copies.pop(writer, None)
            writer.close()

    async def _handle(self, reader, writer, _, target, headers, body):
        request_id = headers.get("basilhoist-request-id", "")
        echo = [("Basilhoist-Request-Id", request_id)]
        if headers.get("basilhoist-target-instance", self.id) != self.id:
            writer.write(reply_bytes(421, headers=[
                ("Basilhoist-Instance-Id", self.id)]))
            return True
        self.arrived.append((request_id, time.monotonic()))
        if self.rig.keeps_heads:
            self.heads[request_id] = headers
        if self.leaving:
            echo.append(LEAVING)
        if self.limit is not None:
            echo.append(("Server-Limit", self.limit))
            self.said_limit.append((request_id, time.monotonic()))
        if self.retry_after is not None:
            try:
                self.said_quiet.append((request_id, time.monotonic(),
                                        float(self.retry_after)))
            except ValueError:
                pass  # a test of text that is no number
            self._note_leaving(request_id, echo)
            writer.write(reply_bytes(503, headers=[
                *echo, ("Basilhoist-Not-Executed", "1"),
                ("Retry-After", self.retry_after)]))
            return True
        if self.mode == "shed" or self.running >= self.slots + self.queue:
            self._note_leaving(request_id, echo)
            writer.write(reply_bytes(503, headers=[
                *echo, ("Basilhoist-Not-Executed", "1")]))
            return True
        self.running += 1
        if POISON in target:
            await asyncio.sleep(self.rig.crashes.run_ms / 1000)
            await self._crash(request_id)
            return False
        work = asyncio.ensure_future(self._work(request_id))
        gone = asyncio.ensure_future(self._closed(reader))
        await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
        self.running -= 1
        if not work.done():
            self.cut_work += 1
            work.cancel()
            return False
        gone.cancel()
        if self.mode in ENDLESS:
            return await self._pour(writer, *ENDLESS[self.mode])
        return self._reply(writer, request_id, echo, target, body)

    def _note_leaving(self, request_id, headers):
        """Called as a reply is written: one that its router has abandoned
        meanwhile tells nobody."""
        if LEAVING in headers:
            self.said_leaving.append((request_id, time.monotonic()))

    async def _copy(self, writer, whole):
        if not writer.is_closing():
            writer.write(whole)
            self.copied += 1

    async def _pour(self, writer, head, more):
        """Sends bytes that are no answer until the router closes."""
        self.poured += 1
        writer.write(head)
        while True:
            writer.write(more)
            await writer.drain()
            await asyncio.sleep(POUR_PERIOD_S)

    @staticmethod
    async def _closed(reader):
        # A reset sets an exception, not the end of the stream.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.005)

    async def _work(self, request_id):
        async with self.free:
            self.ran.append((request_id, time.time()))
            pause = self.paused_until - time.monotonic()
            factor = 12 if self.mode == "slow" else 1
            await asyncio.sleep(max(0, pause) + self.work_ms * factor / 1000)

    def _reply(self, writer, request_id, echo, target, body):
        proof = ("Basilhoist-Server-Signature", signature(self.id, request_id))
        if self.mode == "lost" or self.rig.random.random() < self.lost_share:
            return False
        if self.mode == "reset":
            writer.transport.abort()
            return False
        self._note_leaving(request_id, echo)
        if self.mode == "fail":
            writer.write(reply_bytes(500, b"broken", [*echo, proof]))
            return True
        content = self.rig.records(self.id, target) + body
        status = 200 if self.status is None else self.status
        whole = reply_bytes(status, content, [*echo, *self.refusal, proof])
        if self.mode == "cut_head":
            writer.write(whole[:whole.index(b"\r\n\r\n") - 4])
            return False
        if self.mode == "cut":
            writer.write(whole[:-3])
            return False
        if self.mode == "late_copy":  # in front of the next answer
            self.copies[writer] = whole
        if self.mode == "late_start":  # its first byte, at once
            self.copies[writer] = whole[1:]
            whole += whole[:1]
        if self.mode == "later_copy":  # while the connection is idle, perhaps
            self.rig.later(self.rig.random.uniform(0, 0.02),
                           functools.partial(self._copy, writer, whole))
        writer.write(whole + (whole if self.mode == "extra" else b""))
        return True


class Rig:
    """One platform with routers; see the module's text."""

    ZONES = ["z-a", "z-b", "z-c", "z-d"]
    HOST = "rig.example"

    def __init__(self, logs, routers=4, shards=6, replicas=2, singles=3,
                 work_ms=10, seed=1, top=10, zones=4, crashes=Crashes(),
                 proxied=False):
        self.proxied = proxied  # store and servers stand behind proxies
        self.store_proxies = {}
        self.crashes = crashes
        self.crash_log = []  # (time, server, request id)
        self.keeps_heads = False
        self.tenants = None  # of each version that is published
        self.bounds = {}  # further ones in the settings of routers
        self.all_runs = []  # each Backend that ever was
        self.server_zones = self.ZONES[:zones]
        self.logs = pathlib.Path(logs)
        self.random = random.Random(seed)
        self.net, self.claim = self._claim()
        self.count = routers
        self.processes = {}
        self.starts = {}  # processes of each router so far
        self.files = []
        self.version = 1
        self.top = top
        self.shape = (shards, replicas, singles, work_ms)
        self.backends = {}
        self.tasks = set()
        self.loop = asyncio.new_event_loop()
        self.store_listener = None
        self.thread = threading.Thread(target=self._run_loop, daemon=True)
        self.thread.start()
        self.store = self.do(self._make_store())

    @staticmethod
    def _claim():
        """A loopback network that no other rig on this machine uses."""
        for number in range(100, 220):
            claim = socket.socket()
            try:
                claim.bind((f"127.240.{number}.254", CLAIM_PORT))
                return f"127.{240 + number % 10}.{number}", claim
            except OSError:
                claim.close()
        raise RuntimeError("all loopback networks of rigs are taken")

    def _run_loop(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    def do(self, work):
        """Runs a coroutine in the rig's loop and returns its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(30)

    def call(self, function, *words):
        """Calls a function in the rig's loop."""
        async def run():
            return function(*words)
        return self.do(run())

    async def _make_store(self):
        store = Store()
        port = STORE_PORT + (BEHIND_PROXY if self.proxied else 0)
        self.store_listener = await asyncio.start_server(
            store.serve, [self.store_address(n) for n in range(self.count)],
            port)
        for number in range(self.count if self.proxied else 0):
            where = self.store_address(number)
            self.store_proxies[number] = proxy = soak_proxy.Proxy()
            await proxy.start(where, STORE_PORT, where, port)
        return store

    def later(self, delay_s, work):
        """Runs a coroutine function in the rig's loop after a delay."""
        async def run():
            await asyncio.sleep(delay_s)
            await work()
        self.tasks.add(task := asyncio.ensure_future(run()))
        task.add_done_callback(self.tasks.discard)

    # Backend servers.

    async def _add_backend(self, name, service, number, slots, work_ms):
        made = Backend(self, name, service, f"{self.net}.{number + 50}",
                       self.server_zones[number % len(self.server_zones)],
                       slots, work_ms)
        self.backends[name] = made
        await made.start()
        return made

    def add_backend(self, name, service, number, slots=2, work_ms=10):
        return self.do(self._add_backend(name, service, number, slots,
                                         work_ms))

    def start_version(self, service, version, count, work_ms=10,
                      fault="well"):
        """Starts servers of another version beside those that run."""
        made = []
        for _ in range(count):
            number = len(self.all_runs)
            server = Backend(self, f"{service}-{version}-{number}", service,
                             f"{self.net}.{number + 50}",
                             self.server_zones[number % len(self.server_zones)],
                             3, work_ms)
            server.version = version
            server.fault = server.mode = fault
            self.backends[server.id] = server
            self.do(server.start())
            made.append(server)
        return made

    def crash(self, name):
        """Ends a server; its entry stays for a while."""
        self.do(self.backends[name].stop())

    def of(self, service):
        return [b for b in self.backends.values() if b.service == service]

    def records(self, server, target):
        """Records of a part, the same for one server and target."""
        seed = f"{server}{target}".encode()
        return b"".join(hashlib.md5(seed + bytes([i])).digest()
                        for i in range(12))

    # Routing.

    def shards(self):
        return [f"shard-{i}" for i in range(self.shape[0])]

    def routing(self, version, **changes):
        routes = [
            {"name": "all", "host": self.HOST, "pathPrefix": "/all/",
             "type": "safe", "timeoutMs": 800, "targetLatencyMs": 250,
             "priority": 1, "gather": self.shards(), "maxAttempts": 2,
             "topK": self.top, "minCoverage": 0.6},
            {"name": "get", "host": self.HOST, "pathPrefix": "/get/",
             "type": "safe", "timeoutMs": 2000, "targetLatencyMs": 500,
             "priority": 2, "service": "single", "maxAttempts": 2},
            {"name": "once", "host": self.HOST, "pathPrefix": "/once/",
             "type": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 500,
             "priority": 2, "service": "single", "maxAttempts": 2}]
        services = [{"name": name, "healthPath": "/healthz",
                     "maxConnections": 26, "protocol": "h1", "tls": False,
                     "warmupS": 3.0, "warmupPerS": 0.0}
                    for name in [*self.shards(), "single"]]
        if self.tenants is not None:
            changes = {"tenants": self.tenants, **changes}
        return {"version": version, "routes": routes, "services": services,
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                **changes}

    def publish(self, **changes):
        self.version += 3
        self.call(self.store.put, "config", "main",
                  self.routing(self.version, **changes))
        return self.version

    # Routers.

    def router_address(self, number):
        return f"{self.net}.{number + 10}"

    def store_address(self, number):
        """Where one router finds the store."""
        return f"{self.net}.{number + 2}"

    def settings(self, number):
        ip = self.router_address(number)
        return {
            "nodeName": f"router-{number}", "role": "router",
            "ip": ip, "zone": self.ZONES[number % len(self.ZONES)],
            "bindAddresses": {"frontend": f"{ip}:{CALLER_PORT}",
                              "readiness": f"{ip}:{READY_PORT}",
                              "admin": f"{ip}:{OPS_PORT}"},
            "internalPorts": [PEER_PORT, PEER_PORT + 15],
            "seeds": [f"{self.router_address(n)}:{OPS_PORT}"
                      for n in range(min(3, self.count))],
            "bounds": {"graceS": 6, "retryBudgetRatio": 0.2,
                       "budgetWindowS": 10, "budgetMinRetries": 56,
                       **self.bounds},
            "platform": {
                "address": f"{self.store_address(number)}:{STORE_PORT}"}}

    def start_router(self, number):
        path = self.logs / f"router-{number}.json"
        path.write_text(json.dumps(self.settings(number)))
        self.starts[number] = self.starts.get(number, 0) + 1
        log = open(self.logs / f"router-{number}.log", "ab")
        self.files.append(log)
        self.processes[number] = subprocess.Popen(
            [str(ROUTER)], stdout=log, stderr=log, cwd=ROOT,
            env={**os.environ, "BASILHOIST_NODE_FILE": str(path)})

    def has_begun(self, number):
        """Whether the last process of a router has come to its own code."""
        text = (self.logs / f"router-{number}.log").read_text(errors="replace")
        return text.count('"event":"started"') == self.starts[number]

    def start(self, first_version=True):
        shards, replicas, singles, work_ms = self.shape
        if first_version:
            self.publish()
        number = 0
        for shard in range(shards):
            for replica in range(replicas):
                self.add_backend(f"s{shard}-{replica}", f"shard-{shard}",
                                 number, work_ms=work_ms)
                number += 1
        for single in range(singles):
            self.add_backend(f"one-{single}", "single", number, 3, work_ms)
            number += 1
        for router in range(self.count):
            self.start_router(router)
        if first_version:
            self.wait_ready()
        return self

    def ready(self, number):
        return ask(self.router_address(number), READY_PORT, "GET",
                   "/basilhoist/readyz", timeout=1)[0] == 200

    def wait_ready(self, timeout=15):
        self.wait(lambda: all(self.ready(n) for n in self.processes), timeout)

    def wait(self, condition, timeout=15):
        until = time.monotonic() + timeout
        while not condition():
            self.check_alive()
            if time.monotonic() > until:
                raise TimeoutError("what was waited for did not come in time")
            time.sleep(0.03)

    def check_alive(self):
        for number, process in self.processes.items():
            if process.poll() is None:
                continue
            log = self.logs / f"router-{number}.log"
            lines = log.read_text(errors="replace").splitlines()
            raise UnexpectedEnd(
                f"router {number} ended with code {process.returncode}:\n"
                + "\n".join(lines[-LAST_LOG_LINES:]))

    def kill(self, number):
        process = self.processes.pop(number)
        process.kill()
        process.wait()

    def terminate(self, number):
        """Asks a router to end; returns its process."""
        process = self.processes.pop(number)
        process.send_signal(signal.SIGTERM)
        return process

    def stop(self):
        try:
            self.check_alive()
        finally:
            for process in self.processes.values():
                process.kill()
                process.wait()
            self.processes.clear()
            self.claim.close()
            for file in self.files:
                file.close()
            self.do(self._end_tasks())
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join(10)
            self.loop.close()

    async def _end_tasks(self):
        self.store_listener.close()
        for proxy in self.store_proxies.values():
            proxy.server.close()
        for backend in self.backends.values():
            backend.server.close()
            if backend.proxy:
                backend.proxy.server.close()
        own = asyncio.current_task()
        tasks = [each for each in asyncio.all_tasks() if each is not own]
        for each in tasks:
            each.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def dump(self, number):
        status, _, body = ask(self.router_address(number), OPS_PORT, "GET",
                              "/dump")
        return json.loads(body) if status == 200 else {}

    # Callers.

    def ask(self, number, path, method="GET", body=b"", request_id=None,
            wait_ms=800, timeout=5, headers=None):
        """Returns (status, headers, body) of one request."""
        name = request_id or f"{self.random.getrandbits(64):016x}"
        return ask(self.router_address(number), CALLER_PORT, method, path,
                   body, timeout,
                   {"Host": self.HOST, "Basilhoist-Request-Id": name,
                    "Basilhoist-Timeout-Ms": str(wait_ms),
                    **(headers or {})})

    def expected_records(self, parts, target):
        """The greatest records of the servers that the parts name."""
        names = [part.strip().rsplit(".", 1)[0] for part in parts.split(",")]
        records = []
        for name in names:
            raw = self.records(name, target)
            records += [raw[i:i + RECORD] for i in range(0, len(raw), RECORD)]
        return b"".join(sorted(records, reverse=True)[:self.top])


def ask(address, port, method, path, body=b"", timeout=5, headers=None):
    """One request on a new connection; status 0 means no whole answer."""
    lines = [f"{method} {path} HTTP/1.1"]
    sent = {"Host": "rig", "Connection": "close", **(headers or {})}
    if body or method == "POST":
        sent["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in sent.items()]
    try:
        with socket.create_connection((address, port), timeout) as link:
            link.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            raw = b""
            while chunk := link.recv(65536):
                raw += chunk
    except OSError:
        return 0, {}, b""
    return parse_answer(raw)


def parse_answer(raw):
    head, found, content = raw.partition(b"\r\n\r\n")
    if not found:
        return 0, {}, b""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if len(content) < int(headers.get("content-length", 0)):
        return 0, {}, b""
    return int(lines[0].split()[1]), headers, content


def open_rig(**options):
    """Returns (rig, folder of its logs)."""
    logs = tempfile.TemporaryDirectory()
    return Rig(logs.name, **options), logs

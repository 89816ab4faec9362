"""Case 6: three servers of nine send heads without end, and routers outgrow their memory.

The platform's stand-in ends a router whose resident memory exceeds `memoryMb`,
and starts it again, as DEPLOY.md says.
"""

import collections
import pathlib
import random
import sys
import threading
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import small_fleet as fleet  # noqa: E402
import platform_rig  # noqa: E402

ROUTERS = 8
SINGLES = 9  # backends of the service for single requests, as roster-clerk
IN_TROUBLE = 3  # of them
MEMORY_MB = 260
RESTART_S = 0.5
POLL_S = 0.01
LOAD_S = 60
DEADLINE_S = 3.0  # of official-lookup
ONCE_PER_S = 22.5  # requests of all consumers together, as on the sheet
SWEEPS_PER_S = 30
ENDS = 3  # so often do processes end by themselves...
MACHINES = 2  # ...on so many machines: a tenth of eight, two at least

# A head without end: fields of 4 bytes. Each write ends with the first byte of
# the next field. At most 16 KiB a millisecond, an eighth of its link.
FIELD = b"a:\r\n"
platform_rig.ENDLESS["head_of_short_fields"] = (
    b"HTTP/1.1 200 Good\r\n" + FIELD[:1], (FIELD[1:] + FIELD[:1]) * 4096)
platform_rig.POUR_PERIOD_S = 0.001


class Platform:
    """Ends and restarts routers that exceed their memory."""

    def __init__(self, rig, record):
        self.rig, self.record = rig, record
        self.ends = collections.Counter()
        self.peak = collections.Counter()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._watch)
        self.thread.start()

    def stop(self):
        self.stopped.set()
        self.thread.join()

    def _watch(self):
        restarts = {}
        while not self.stopped.wait(POLL_S):
            for number, process in list(self.rig.processes.items()):
                size = fleet.resident_bytes(process.pid)
                self.peak[number] = max(self.peak[number], size)
                if process.poll() is None and size <= MEMORY_MB << 20:
                    continue
                self.record.line("ended", f"router-{number}", "resident_bytes",
                                 size, "limit", MEMORY_MB << 20)
                self.ends[number] += 1
                self.rig.kill(number)
                restarts[number] = time.monotonic() + RESTART_S
            for number, when in list(restarts.items()):
                if time.monotonic() >= when:
                    del restarts[number]
                    self.rig.start_router(number)
                    self.record.line("started", f"router-{number}")


def load(rig, record, until, cut):
    """One consumer: single requests that may run once, and sweeps."""
    dice = random.Random()
    consumers = {}
    while time.monotonic() < until:
        router = dice.randrange(ROUTERS)
        single = dice.random() < ONCE_PER_S / (ONCE_PER_S + SWEEPS_PER_S)
        key = (router, single)
        if key not in consumers:
            consumers[key] = fleet.Consumer(
                rig, record, router, DEADLINE_S if single else 0.8)
        asked = (consumers[key].ask("POST", "/once/x", b"record") if single
                 else consumers[key].ask("GET", "/all/x"))
        name, status, _, _, kept = asked
        if status == 0 and kept:
            cut.append(name)
        time.sleep(dice.uniform(0, 2 * THREADS / (ONCE_PER_S + SWEEPS_PER_S)))
    for each in consumers.values():
        each.close()


THREADS = 24


def play(rig, record):
    usual = rig.settings
    rig.settings = lambda number: {
        **usual(number), "limits": {"cpuShare": 0.25, "cpuCores": 1,
                                    "memoryMb": MEMORY_MB, "maxFds": 4100}}
    routing = rig.routing

    def with_deadline(version, **changes):
        manifest = routing(version, **changes)
        for route in manifest["routes"]:
            if route["name"] == "once":
                route["timeoutMs"] = int(DEADLINE_S * 1000)
        return manifest

    rig.routing = with_deadline
    rig.start()
    bad = rig.of("single")[:IN_TROUBLE]
    for server in bad if fleet.TROUBLE else []:
        server.mode = "head_of_short_fields"
        record.line("trouble", server.id, "answers with a head without end")
    platform = Platform(rig, record)
    until = time.monotonic() + LOAD_S
    cut = []
    threads = [threading.Thread(target=load, args=(rig, record, until, cut))
               for _ in range(THREADS)]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    platform.stop()
    sound = {name for server in rig.backends.values() if server not in bad
             for name, _ in server.ran}
    for server in rig.backends.values():
        record.line("ran", server.id, len(server.ran), "poured", server.poured)
    machines = sum(1 for count in platform.ends.values() if count >= ENDS)
    lost = [name for name in cut if name in sound]
    peak = max(platform.peak.values()) >> 20
    summary = (f"processes ended by themselves on {len(platform.ends)} of "
               f"{ROUTERS} machines, {sum(platform.ends.values())} times; "
               f"{machines} machines {ENDS} times or more; largest memory "
               f"{peak} MB of {MEMORY_MB}; {len(lost)} requests of kept "
               f"connections passed on to sound servers and cut")
    record.line(summary)
    print(summary)
    return fleet.BROKEN if machines >= MACHINES else fleet.HELD


def main():
    record = fleet.Record(HERE)
    rig, logs = fleet.open_rig(routers=ROUTERS, shards=6, singles=SINGLES,
                               work_ms=20)
    try:
        result = play(rig, record)
    except Exception:  # noqa: BLE001: the case could not run
        traceback.print_exc()
        result = fleet.NOT_RUN
    finally:
        rig.stop()
        logs.cleanup()
        record.close()
    sys.exit(result)


if __name__ == "__main__":
    main()

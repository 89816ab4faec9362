"""A relay gives shards back whose servers have just reset its requests, and is
killed while the sender's own calls to them are under way."""

import concurrent.futures
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig_case  # noqa: E402

ROUNDS = 4
BEFORE, DURING = 8, 6  # queries at a time
TROUBLED = 4  # of 12 shards
# Work of the troubled shards' servers, ms: less than the pauses of 150 ms that
# the users' shards make, and each its own.
WORK_MS = (40, 60, 80, 100)
SENDERS = (2, 3)  # routers in zones without servers
RELAY = 0
KILL_AFTER_S = 0.025


def play(rig, record):
    troubled = [server for number in range(TROUBLED)
                for server in rig.of(f"shard-{number}")]

    def set_mode(mode):
        for server in troubled:
            number = int(server.service.rpartition("-")[2])
            server.work_ms = 5 if mode == "reset" else WORK_MS[number]
            server.mode = mode

    def ask(name, number):
        status, headers, _ = rig.ask(SENDERS[number % 2],
                                     f"/all/{name}?q={name}", request_id=name)
        proofs = [each.strip() for each in headers.get(
            "basilhoist-shard-stamps", "").split(",") if each.strip()]
        services = [rig.backends[proof.rsplit(".", 1)[0]].service
                    for proof in proofs]
        double = sorted({each for each in services
                         if services.count(each) > 1})
        record(f"{name}: status {status}, {len(proofs)} proofs of "
               f"{len(set(services))} shards, two of {double or 'none'}")
        return status == 200 and bool(double)

    wrong = 0
    with concurrent.futures.ThreadPoolExecutor(BEFORE) as pool:
        for turn in range(ROUNDS):
            if rig_case.TROUBLE:
                rig.call(set_mode, "reset")
                record(f"round {turn}: servers of {TROUBLED} shards reset "
                       "what they run")
            list(pool.map(lambda n: ask(f"before-{turn}-{n}", n),
                          range(BEFORE)))
            rig.call(set_mode, "well")
            record("all servers answer again")
            calls = [pool.submit(ask, f"during-{turn}-{n}", n)
                     for n in range(DURING)]
            if rig_case.TROUBLE:
                time.sleep(KILL_AFTER_S)
                rig.kill(RELAY)
                record(f"router-{RELAY} is killed")
            wrong += sum(each.result() for each in calls)
            if rig_case.TROUBLE:
                rig.start_router(RELAY)
                rig.wait_ready()
            time.sleep(4)
    record(f"successes with two proofs of one shard: {wrong}")
    return rig_case.BROKEN if wrong else rig_case.HELD


rig_case.run(pathlib.Path(__file__).parent, play, routers=4, shards=12,
             replicas=2, singles=6, zones=2)

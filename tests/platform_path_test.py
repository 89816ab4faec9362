"""The platform path with real routers: what callers and servers see of it."""

import concurrent.futures
import signal
import socket
import threading
import time
import unittest

import process_support as support
import platform_rig

CONFIG_BOUND_S = 3.0  # a version is in force everywhere within this
HEARD_BOUND_S = 6.0  # also at a router that the store does not answer
LEAVE_BOUND_S = 0.5  # work for a caller that has left ends within this


class RigTest(unittest.TestCase):
    OPTIONS = {}

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(seed=support.SEED,
                                               **self.OPTIONS)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)
        self.rig.start()

    def assert_whole(self, reply, target, missing=0):
        status, headers, body = reply
        self.assertEqual(200, status, body)
        parts = headers["basilhoist-shard-stamps"]
        self.assertEqual(missing,
                         int(headers["basilhoist-missing-shards"]))
        self.assertEqual(len(self.rig.shards()) - missing,
                         len(set(parts.split(","))))
        self.assertEqual(self.rig.expected_records(parts, target), body)

    def runs_of(self, request_id):
        return sum(1 for backend in self.rig.backends.values()
                   for ran, _ in backend.ran if ran == request_id)

    def in_force(self, number):
        return self.rig.dump(number)["table_version"]


class ServingTest(RigTest):

    def test_a_full_answer_through_each_router(self):
        for number in range(self.rig.count):
            target = f"/all/{number}?q=a%20b&q=c"
            self.assert_whole(self.rig.ask(number, target), target)

    def test_a_request_is_passed_on_as_it_came(self):
        seen = []
        backend = self.rig.of("single")
        for each in backend:
            handle = each._handle

            async def watch(reader, writer, method, target, headers, body,
                            handle=handle):
                seen.append((method, target, headers, body))
                return await handle(reader, writer, method, target, headers,
                                    body)
            each._handle = watch
        target = "/once/a%2Fb/..;x?y=%00&z=+"
        status, headers, body = self.rig.ask(
            1, target, "POST", b"\x00\xffbody", "id-1")
        self.assertEqual(200, status)
        self.assertIn(b"\x00\xffbody", body)
        self.assertIn("basilhoist-server-signature", headers)
        method, came, sent, content = seen[0]
        self.assertEqual(("POST", target, b"\x00\xffbody"),
                         (method, came, content))
        self.assertEqual("id-1", sent["basilhoist-request-id"])
        self.assertNotIn("connection", sent)
        self.assertLessEqual(int(sent["basilhoist-timeout-ms"]), 800)

    def test_refusals(self):
        self.assertEqual(404, self.rig.ask(0, "/nowhere/x")[0])
        status, _, _ = platform_rig.ask(
            self.rig.router_address(0), platform_rig.CALLER_PORT, "GET",
            "/get/x", headers={"Host": self.rig.HOST})
        self.assertEqual(400, status)
        self.assertEqual(413, self.rig.ask(0, "/once/x", "POST",
                                           b"x" * 300000)[0])

    def test_two_lengths_do_not_smuggle_a_request(self):
        hidden = b"POST /once/hidden HTTP/1.1\r\nHost: rig.example\r\n" \
                 b"Basilhoist-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n"
        raw = (b"POST /once/open HTTP/1.1\r\nHost: rig.example\r\n"
               b"Basilhoist-Request-Id: open\r\nContent-Length: %d\r\n"
               b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
               b"0\r\n\r\n" % (5 + len(hidden))) + hidden
        with socket.create_connection((self.rig.router_address(0),
                                       platform_rig.CALLER_PORT), 3) as link:
            link.settimeout(1)
            link.sendall(raw)
            try:
                while link.recv(4096):
                    pass
            except OSError:
                pass
        self.assertEqual(0, self.runs_of("hidden"))

    def test_a_caller_that_leaves_ends_its_work(self):
        for backend in self.rig.of("single"):
            backend.work_ms = 2000
        link = socket.create_connection((self.rig.router_address(0),
                                         platform_rig.CALLER_PORT), 3)
        link.sendall(b"GET /get/x HTTP/1.1\r\nHost: rig.example\r\n"
                     b"Basilhoist-Request-Id: left\r\n"
                     b"Basilhoist-Timeout-Ms: 2000\r\n\r\n")
        self.rig.wait(lambda: self.runs_of("left") == 1)
        link.close()
        time.sleep(LEAVE_BOUND_S)
        self.assertEqual(1, sum(b.cut_work for b in self.rig.of("single")))


class KnowledgeTest(RigTest):

    def wait_in_force(self, version, numbers, bound=CONFIG_BOUND_S):
        self.rig.wait(lambda: all(self.in_force(n) >= version
                                  for n in numbers), bound)

    def test_a_version_is_in_force_everywhere(self):
        version = self.rig.publish()
        self.wait_in_force(version, range(self.rig.count))

    def test_a_router_cut_from_the_store_hears_from_peers(self):
        self.rig.store.cut.add(self.rig.store_address(0))
        self.rig.call(self.abort_store_connections)
        version = self.rig.publish()
        self.wait_in_force(version, range(self.rig.count), 6)
        self.rig.store.cut.clear()

    def test_a_router_cut_silently_hears_of_changes_that_go_on(self):
        """Quetzal's scale-2: each lead of a peer began the listing anew."""
        self.rig.store.cut.add(self.rig.store_address(0))
        published = []
        began = time.monotonic()
        while time.monotonic() - began < 9:
            published.append((time.monotonic(), self.rig.publish()))
            time.sleep(0.4)
            old_enough = [version for at, version in published
                          if time.monotonic() - at > HEARD_BOUND_S]
            if old_enough:
                self.assertGreaterEqual(self.in_force(0), old_enough[-1])
        self.rig.store.cut.clear()

    def abort_store_connections(self):
        for writer in list(self.rig.store.writers):
            writer.transport.abort()

    def test_dropped_history_loses_nothing(self):
        for _ in range(5):
            version = self.rig.publish()
            self.rig.call(self.rig.store.drop_history)
        self.wait_in_force(version, range(self.rig.count))

    def test_an_older_version_is_never_taken(self):
        version = self.rig.publish()
        self.wait_in_force(version, range(self.rig.count))
        self.rig.call(self.rig.store.put, "config", "main",
                      self.rig.routing(version - 1))
        time.sleep(1)
        for number in range(self.rig.count):
            self.assertEqual(version, self.in_force(number))

    def test_a_restart_while_the_store_is_away(self):
        self.rig.store.mode = "busy"
        self.rig.kill(3)
        self.rig.start_router(3)
        # Before it knows a table it must not deny routes that exist.
        until = time.monotonic() + 3
        statuses = set()
        while time.monotonic() < until and not statuses >= {200}:
            statuses.add(self.rig.ask(3, "/get/x")[0])
            time.sleep(0.02)
        self.assertNotIn(404, statuses)
        self.assertIn(200, statuses)
        self.rig.store.mode = "up"

    def test_forged_entries_name_no_server(self):
        for index, spec in enumerate([
                None, [], "x", {"service": "shard-0"},
                {"service": "shard-0", "address": "127.0.0.1:1", "zone": 7,
                 "slots": 2, "state": "ready"}]):
            self.rig.call(self.rig.store.put, "servers", f"forged-{index}",
                          spec)
        time.sleep(0.5)
        for number in range(12):
            target = f"/all/{number}"
            self.assert_whole(self.rig.ask(0, target), target)

    def test_a_draining_server_gets_nothing(self):
        leaving = self.rig.of("shard-0")[0]
        self.rig.call(leaving.drain)
        time.sleep(0.6)
        before = len(leaving.ran)
        for number in range(12):
            target = f"/all/{number}"
            self.assert_whole(self.rig.ask(number % 4, target), target)
        self.assertEqual(before, len(leaving.ran))

    def test_an_evacuated_domain_gets_nothing(self):
        zone = self.rig.ZONES[0]
        self.rig.call(self.rig.store.put, "evacuations", zone, {})
        time.sleep(0.6)
        inside = [b for b in self.rig.backends.values() if b.zone == zone]
        before = sum(len(b.ran) for b in inside)
        for number in range(12):
            self.assert_whole(self.rig.ask(number % 4, f"/all/{number}"),
                              f"/all/{number}")
        self.assertEqual(before, sum(len(b.ran) for b in inside))
        self.rig.call(self.rig.store.remove, "evacuations", zone)
        time.sleep(0.6)
        for number in range(30):
            self.rig.ask(number % 4, f"/all/{number}")
        self.assertLess(before, sum(len(b.ran) for b in inside))

    def test_another_server_at_the_address_does_not_run_it(self):
        old = self.rig.of("shard-0")[0]
        old.id = "somebody-else"
        for number in range(8):
            target = f"/all/{number}"
            self.assert_whole(self.rig.ask(0, target), target)
        self.assertEqual([], old.ran)


class ForgedInstanceTest(unittest.TestCase):

    def test_forged_names_of_instances_end_no_router(self):
        rig, logs = platform_rig.open_rig(seed=support.SEED)
        self.addCleanup(logs.cleanup)
        self.addCleanup(rig.stop)
        for index, spec in enumerate([
                None, [], "x", 7, {}, {"peer_address": 7},
                {"peer_address": None}, {"peer_address": ["127.0.0.1:1"]},
                {"peer_address": "nowhere"}]):
            rig.call(rig.store.put, "basilhoist-instances", f"forged-{index}",
                     spec)
        rig.start()
        rig.wait(lambda: all(rig.dump(n)["reads_store"]
                             for n in range(rig.count)))
        time.sleep(0.5)
        rig.check_alive()
        self.assertEqual(200, rig.ask(0, "/get/x")[0])


class FaultTest(RigTest):

    def ask_many(self, count, path="/all/", method="GET", wait_ms=800):
        def one(number):
            name = f"{path.strip('/')}-{number}-{time.monotonic_ns()}"
            target = f"{path}{number}"
            return name, target, self.rig.ask(
                number % self.rig.count, target, method, b"", name, wait_ms)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            return list(pool.map(one, range(count)))

    def test_one_replica_less_costs_no_answer(self):
        self.rig.crash("s0-0")
        for _, target, reply in self.ask_many(30):
            self.assert_whole(reply, target)

    def test_a_shard_without_servers_is_said_to_be_missing(self):
        self.rig.crash("s0-0")
        self.rig.crash("s0-1")
        for _, target, reply in self.ask_many(20):
            self.assert_whole(reply, target, missing=1)

    def test_too_few_shards_are_refused_at_once(self):
        for backend in list(self.rig.backends.values()):
            if backend.service.startswith("shard") and \
                    backend.service >= "shard-2":
                self.rig.crash(backend.id)
        began = time.monotonic()
        for _, _, reply in self.ask_many(8):
            self.assertIn(reply[0], (502, 503, 504))
        self.assertLess(time.monotonic() - began, 2)

    def test_replies_that_go_wrong_are_never_mixed(self):
        modes = ["lost", "reset", "cut", "extra", "fail"]
        for shard in range(5):
            self.rig.backends[f"s{shard}-0"].mode = modes[shard]
        for _, target, reply in self.ask_many(60):
            if reply[0] == 200:
                missing = int(reply[1]["basilhoist-missing-shards"])
                self.assert_whole(reply, target, missing)
            else:
                self.assertIn(reply[0], (502, 503, 504))

    def test_what_may_run_once_runs_once(self):
        for backend, mode in zip(self.rig.of("single"),
                                 ("reset", "shed", "cut")):
            backend.mode = mode
        for name, _, reply in self.ask_many(30, "/once/", "POST"):
            runs = self.runs_of(name)
            self.assertLessEqual(runs, 1)
            if reply[0] in (408, 421, 429, 503):
                self.assertEqual(0, runs, "a refusal that is not true")

    def test_a_lost_answer_ends_at_the_routes_timeout(self):
        for backend in self.rig.of("single"):
            backend.work_ms = 9000
        began = time.monotonic()
        reply = self.rig.ask(0, "/get/x", wait_ms=9000, timeout=5)
        self.assertEqual(504, reply[0])
        self.assertLess(time.monotonic() - began, 2.5)

    def test_a_stop_cuts_nothing(self):
        cut = []
        stop = threading.Event()

        def load(number):
            while not stop.is_set():
                target = f"/all/{number}"
                status, _, _ = self.rig.ask(2, target)
                if status == 0 and not refused(self.rig, 2):
                    cut.append(target)

        threads = [threading.Thread(target=load, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        process = self.rig.terminate(2)
        time.sleep(0.2)
        self.assertFalse(self.rig.ready(2))
        self.assertEqual(0, process.wait(10))
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual([], cut)


class RelayTest(RigTest):
    """Shards in two domains, callers in others: requests go through relays."""

    OPTIONS = {"shards": 8, "zones": 2}

    def ask_all(self, seconds, numbers, allow_partial=False):
        until = time.monotonic() + seconds
        asked = 0
        while time.monotonic() < until:
            for number in numbers:
                target = f"/all/{asked}"
                reply = self.rig.ask(number, target)
                missing = 0
                if allow_partial and reply[0] == 200:
                    missing = int(reply[1]["basilhoist-missing-shards"])
                self.assert_whole(reply, target, missing)
                asked += 1
        return asked

    def test_whole_answers_through_relays(self):
        time.sleep(1.5)  # until routers have heard each other
        self.assertGreater(self.ask_all(1, [2, 3]), 10)

    def test_a_frozen_relay_costs_no_answer(self):
        time.sleep(1.5)
        for relay in (0, 1):
            process = self.rig.processes[relay]
            process.send_signal(signal.SIGSTOP)
            try:
                self.ask_all(0.7, [2, 3], allow_partial=True)
            finally:
                process.send_signal(signal.SIGCONT)
            self.ask_all(0.7, [2, 3], allow_partial=True)

    def test_a_killed_relay_costs_no_answer(self):
        time.sleep(1.5)
        self.rig.kill(0)
        self.ask_all(1, [2, 3], allow_partial=True)
        self.rig.start_router(0)
        self.rig.wait_ready()
        self.ask_all(1, [2, 3], allow_partial=True)


class StopTest(RigTest):

    def test_kept_connections_lose_no_request_that_was_read(self):
        """Replays trouble-2 of quetzal: a request on a kept connection came in
        the turn in which the router ended, and was sent on but not answered."""
        links = [socket.create_connection(
            (self.rig.router_address(1), platform_rig.CALLER_PORT), 3)
            for _ in range(60)]
        process = self.rig.terminate(1)
        began = time.monotonic()
        # One idle connection after the other is used around the end.
        sent = []
        for number, link in enumerate(links):
            delay = 2.9 + number * 0.01 - (time.monotonic() - began)
            time.sleep(max(0.0, delay))
            name = f"kept-{number}"
            try:
                link.sendall(
                    f"GET /get/{number} HTTP/1.1\r\nHost: {self.rig.HOST}\r\n"
                    f"Basilhoist-Request-Id: {name}\r\n"
                    "Basilhoist-Timeout-Ms: 800\r\n\r\n".encode())
                sent.append((name, link))
            except OSError:
                pass  # closed before it was sent: nothing is lost
        process.wait(10)
        for name, link in sent:
            link.settimeout(1)
            try:
                answer = link.recv(4096)
            except OSError:
                answer = b""
            if not answer:
                self.assertEqual(0, self.runs_of(name), name)
        for link in links:
            link.close()


def refused(rig, number):
    """Whether the router takes no connections any more."""
    try:
        socket.create_connection((rig.router_address(number),
                                  platform_rig.CALLER_PORT), 1).close()
        return False
    except OSError:
        return True


class ContainmentTest(RigTest):
    OPTIONS = {"singles": 8}
    CRASHES = 3  # servers that a request may end before it is kept out
    KNOWN_WITHIN_S = 4  # everywhere, after the last of them
    MOST_REPEATS = 3  # that reach servers later

    def crashed(self):
        return sum(each.crashed for each in self.rig.of("single"))

    def test_a_request_that_crashes_servers_is_kept_out_everywhere(self):
        target = f"/get/{platform_rig.POISON}"
        turn = 0
        while self.crashed() < self.CRASHES:
            self.rig.ask(turn % self.rig.count, target,
                         request_id=f"p{turn}", timeout=4)
            turn += 1
        crashed = self.crashed()
        until = time.monotonic() + self.KNOWN_WITHIN_S
        while time.monotonic() < until:  # others find that servers are gone
            turn += 1
            self.rig.ask(turn % self.rig.count, f"/get/{turn}",
                         request_id=f"g{turn}", timeout=4)
            time.sleep(0.02)
        for repeat in range(12):
            reply = self.rig.ask(repeat % self.rig.count, target,
                                 request_id=f"r{repeat}", timeout=4)
        self.assertLessEqual(self.crashed() - crashed, self.MOST_REPEATS)
        for number in range(self.rig.count):
            reply = self.rig.ask(number, target, request_id=f"l{number}")
            self.assertEqual(503, reply[0], "not known everywhere")
            reply = self.rig.ask(number, "/get/x", request_id=f"x{number}")
            self.assertEqual(200, reply[0], "others suffer")


class ColdServerTest(RigTest):
    OPTIONS = {"singles": 3, "work_ms": 2}
    RATE_PER_S = 5
    # Of the users' bounds: 1.5 times the rate and five requests.
    MOST_IN_A_SECOND = 1.5 * RATE_PER_S + 5
    COLD_S = 3
    PERIOD_S = 0.01

    def test_a_cold_server_gets_its_rate_from_all_routers_together(self):
        services = [{**each, "warmupPerS": float(self.RATE_PER_S),
                     "warmupS": float(self.COLD_S)}
                    for each in self.rig.routing(0)["services"]]
        version = self.rig.publish(services=services)
        self.rig.wait(lambda: all(self.in_force(number) == version
                                  for number in range(self.rig.count)))
        cold = self.rig.of("single")[0]
        self.rig.call(cold.restart_cold, self.COLD_S * 1000)
        # In force at all routers; they hear of servers within a second.
        time.sleep(1)
        began = time.time()
        until = began + self.COLD_S - 1.2
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            number = 0
            while time.time() < until:
                pool.submit(self.rig.ask, number % self.rig.count,
                            f"/get/{number}", request_id=f"c{number}")
                number += 1
                time.sleep(self.PERIOD_S)
        self.assertGreater(number, 100)
        arrivals = [at for _, at in cold.ran if at >= began]
        for first in arrivals:
            within = sum(first <= at < first + 1 for at in arrivals)
            self.assertLessEqual(within, self.MOST_IN_A_SECOND)
        # It is warm again, and takes its part.
        time.sleep(max(0, began + self.COLD_S + 1 - time.time()))
        before = len(cold.ran)
        for number in range(60):
            self.rig.ask(number % self.rig.count, f"/get/{number}",
                         request_id=f"w{number}")
        self.assertGreater(len(cold.ran) - before, 5)


if __name__ == "__main__":
    unittest.main()

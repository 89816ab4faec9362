"""Requests that come late in the grace period of a planned stop.

They must be answered, or refused before any server gets them; a request that
is passed on and cut at the end of the grace period may have run.
"""

import collections
import socket
import time
import unittest

import process_support as support
import platform_rig

WORK_MS = 500
SINGLES = 12
LINKS = 110
PERIOD_S = 0.05
GRACE_S = 6.0
WARM_REQUESTS = 40


class LateStopTest(unittest.TestCase):

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(
            seed=support.SEED, routers=2, shards=3, singles=SINGLES,
            work_ms=WORK_MS)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)
        self.rig.start()

    def send(self, link, name, method, path):
        link.sendall(f"{method} {path} HTTP/1.1\r\nHost: {self.rig.HOST}\r\n"
                     f"Basilhoist-Request-Id: {name}\r\n"
                     "Content-Length: 0\r\n"
                     "Basilhoist-Timeout-Ms: 3000\r\n\r\n".encode())

    @staticmethod
    def receive(link):
        """The status of a whole answer; 0 if there is none."""
        link.settimeout(8)
        raw = b""
        while True:
            try:
                chunk = link.recv(65536)
            except OSError:
                return 0
            if not chunk:
                return 0
            raw += chunk
            status, _, _ = platform_rig.parse_answer(raw)
            if status:
                return status

    def runs(self):
        return collections.Counter(
            name for server in self.rig.all_runs for name, _ in server.ran)

    def check_stop(self, method, path):
        links = [socket.create_connection(
            (self.rig.router_address(1), platform_rig.CALLER_PORT), 3)
            for _ in range(LINKS)]
        # The router learns how long such requests take.
        for number in range(WARM_REQUESTS):
            self.send(links[number], f"warm-{number}", method, path)
        for number in range(WARM_REQUESTS):
            self.assertEqual(200, self.receive(links[number]))
        process = self.rig.terminate(1)
        began = time.monotonic()
        sent = []
        for number, link in enumerate(links):
            time.sleep(max(0.0, began + number * PERIOD_S - time.monotonic()))
            try:
                self.send(link, f"late-{number}", method, path)
                sent.append((f"late-{number}", number * PERIOD_S, link))
            except OSError:
                pass  # closed before it was sent: nothing is lost
        found = [(name, at, self.receive(link)) for name, at, link in sent]
        process.wait(10)
        self.assertLess(time.monotonic() - began, GRACE_S + 2)
        runs = self.runs()
        wrong = [(name, at, status) for name, at, status in found
                 if status != 200 and (runs[name] or status not in (0, 503))]
        self.assertEqual([], wrong)
        self.assertGreater(sum(status == 200 for *_, status in found), 20)
        for link in links:
            link.close()

    def test_requests_that_must_not_run_twice_are_answered_or_not_run(self):
        self.check_stop("POST", "/once/x")

    def test_idempotent_requests_are_answered_or_not_run(self):
        self.check_stop("GET", "/get/x")


if __name__ == "__main__":
    unittest.main()

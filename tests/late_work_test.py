"""Work that nobody waits for any more must not be sent to servers.

A router that was frozen finds requests in its sockets together with the close
or the cancel that came behind them.
"""

import signal
import socket
import time
import unittest

import process_support as support
import platform_rig

FROZEN_S = 1.0
SETTLE_S = 0.7
CALLERS = 12


class LateWorkTest(unittest.TestCase):

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(seed=support.SEED, routers=4,
                                               shards=6, singles=3)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)
        self.rig.start()

    def freeze(self, routers):
        for router in routers:
            self.rig.processes[router].send_signal(signal.SIGSTOP)

    def wake(self, routers):
        for router in routers:
            self.rig.processes[router].send_signal(signal.SIGCONT)

    def call_and_leave(self, router, target, wait_s):
        """Callers that close before they have an answer."""
        names = []
        links = []
        for number in range(CALLERS):
            link = socket.create_connection(
                (self.rig.router_address(router), platform_rig.CALLER_PORT), 3)
            name = f"left-{number}"
            link.sendall(f"GET {target}{number} HTTP/1.1\r\n"
                         f"Host: {self.rig.HOST}\r\n"
                         f"Basilhoist-Request-Id: {name}\r\n"
                         "Basilhoist-Timeout-Ms: 3000\r\n\r\n".encode())
            names.append(name)
            links.append(link)
        time.sleep(wait_s)
        for link in links:
            link.close()
        return set(names)

    def arrived_since(self, names, since):
        return [(server.id, name)
                for server in self.rig.backends.values()
                for name, at in server.arrived
                if name in names and at >= since]

    def test_a_caller_that_closed_behind_its_request(self):
        for target in ("/get/", "/all/"):
            self.freeze([0])
            names = self.call_and_leave(0, target, 0.05)
            time.sleep(FROZEN_S)
            since = time.monotonic()
            self.wake([0])
            time.sleep(SETTLE_S)
            self.assertEqual([], self.arrived_since(names, since))

    def test_a_batch_whose_cancel_came_behind_it(self):
        relays = [1, 2, 3]
        self.freeze(relays)
        # The sender gives the relays up after 25 ms, and its callers leave.
        names = self.call_and_leave(0, "/all/", 0.3)
        time.sleep(FROZEN_S)
        since = time.monotonic()
        self.wake(relays)
        time.sleep(SETTLE_S)
        self.assertEqual([], self.arrived_since(names, since))


if __name__ == "__main__":
    unittest.main()

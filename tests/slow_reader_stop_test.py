"""A planned stop waits for answers that callers still read."""

import concurrent.futures
import signal
import socket
import time
import unittest

import process_support as support
import platform_rig

CALLERS = 4
ANSWER_BYTES = 450_000
BYTES_PER_S = 150_000  # an answer takes 3 s
REQUEST_AFTER_S = 2.0  # open connections stay with the router until it ends
GRACE_S = 6.0
IDLE_STOP_S = 4.0  # 3 s for the load balancer, and a margin for a busy host


class SlowReaderStopTest(unittest.TestCase):

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(seed=support.SEED, routers=2,
                                               shards=4, singles=3)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)
        usual = self.rig.records
        self.rig.records = lambda server, target: (
            b"r" * ANSWER_BYTES if target.startswith("/once/")
            else usual(server, target))
        self.rig.start()

    def connect(self):
        link = socket.socket()
        # Ethernet's segment and a small window: loopback's buffers are larger
        # than those of real links.
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        link.settimeout(15)
        link.connect((self.rig.router_address(0), platform_rig.CALLER_PORT))
        self.addCleanup(link.close)
        return link

    def read_slowly(self, link, name):
        """Returns the size of the body received."""
        link.sendall(f"POST /once/{name} HTTP/1.1\r\nHost: {self.rig.HOST}\r\n"
                     f"Basilhoist-Request-Id: {name}\r\n"
                     "Content-Length: 0\r\n"
                     "Basilhoist-Timeout-Ms: 8000\r\n\r\n".encode())
        raw, due = b"", time.monotonic()
        while len(raw.partition(b"\r\n\r\n")[2]) < ANSWER_BYTES:
            try:
                chunk = link.recv(8192)
            except OSError:
                break
            if not chunk:
                break
            raw += chunk
            due += len(chunk) / BYTES_PER_S
            time.sleep(max(0, due - time.monotonic()))
        return len(raw.partition(b"\r\n\r\n")[2])

    def test_answers_that_are_being_read_are_whole(self):
        links = [self.connect() for _ in range(CALLERS)]
        self.connect()  # idle; must not hold the stop up
        process = self.rig.terminate(0)
        began = time.monotonic()
        time.sleep(REQUEST_AFTER_S)
        process.send_signal(signal.SIGTERM)  # a second one changes nothing
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            sizes = list(pool.map(self.read_slowly, links,
                                  (f"slow-{n}" for n in range(CALLERS))))
        process.wait(10)
        self.assertEqual([ANSWER_BYTES] * CALLERS, sizes)
        self.assertLess(time.monotonic() - began, GRACE_S)

    def test_a_caller_that_stops_reading_delays_the_stop_within_the_grace(self):
        link = self.connect()
        process = self.rig.terminate(0)
        began = time.monotonic()
        link.sendall(f"POST /once/x HTTP/1.1\r\nHost: {self.rig.HOST}\r\n"
                     "Basilhoist-Request-Id: x\r\nContent-Length: 0\r\n"
                     "Basilhoist-Timeout-Ms: 8000\r\n\r\n".encode())
        process.wait(10)
        self.assertEqual(0, process.returncode)
        self.assertLess(time.monotonic() - began, GRACE_S)

    def test_an_idle_router_stops_as_fast_as_before(self):
        self.connect()
        process = self.rig.terminate(0)
        began = time.monotonic()
        process.wait(10)
        self.assertLess(time.monotonic() - began, IDLE_STOP_S)


if __name__ == "__main__":
    unittest.main()

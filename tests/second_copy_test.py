"""Servers send a second copy of an answer, late, on a connection that is in
use again: each caller gets its own answer, directly and through relays."""

import concurrent.futures
import unittest

import process_support as support
import platform_rig

CALLERS = 6
REQUESTS = 60  # of each caller


class SecondCopyTest(unittest.TestCase):
    OPTIONS = {}

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(seed=support.SEED,
                                               **self.OPTIONS)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)
        self.rig.start()

    def check_gathered(self, number):
        target = f"/all/{number}?q={number}"
        status, headers, body = self.rig.ask(number % self.rig.count, target)
        if status != 200:
            return False
        parts = headers["basilhoist-shard-stamps"]
        self.assertEqual(self.rig.expected_records(parts, target), body)
        return True

    def check_single(self, number):
        target = f"/get/{number}"
        status, headers, body = self.rig.ask(
            number % self.rig.count, target, request_id=f"id-{number}")
        if status != 200:
            return False
        proof = headers["basilhoist-server-signature"]
        servers = [s for s in self.rig.of("single")
                   if platform_rig.signature(s.id, f"id-{number}") == proof]
        self.assertEqual(1, len(servers), "the answer of another request")
        self.assertEqual(self.rig.records(servers[0].id, target), body)
        return True

    def check(self, mode):
        for server in self.rig.backends.values():
            server.mode = mode

        def call(caller):
            served = 0
            for i in range(REQUESTS):
                number = caller * REQUESTS + i
                ask = self.check_single if i % 2 else self.check_gathered
                served += ask(number)
            return served

        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            served = sum(pool.map(call, range(CALLERS)))
        copied = sum(s.copied for s in self.rig.backends.values())
        self.assertGreater(copied, 10, "no copy was sent")
        # Two servers of each shard do so; the others' answers are whole.
        self.assertGreater(served, CALLERS * REQUESTS / 2)

    def test_in_front_of_the_next_answer(self):
        self.check("late_copy")

    def test_its_first_byte_with_the_first_copy(self):
        for server in self.rig.backends.values():
            server.mode = "late_start"
        for number in range(40):
            self.assertTrue(self.check_gathered(number))
            self.assertTrue(self.check_single(number))

    def test_some_milliseconds_later(self):
        self.check("later_copy")


class SecondCopyThroughRelaysTest(SecondCopyTest):
    OPTIONS = {"shards": 8, "zones": 2}


if __name__ == "__main__":
    unittest.main()

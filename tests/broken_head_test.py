"""Servers that stop in the middle of an answer's head and close."""

import unittest

import process_support as support
import platform_rig

REQUESTS = 30


class BrokenHeadTest(unittest.TestCase):

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(seed=support.SEED, routers=2,
                                               shards=4, singles=2)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)
        self.rig.start()

    def break_heads(self, servers):
        for server in servers:
            server.mode = "cut_head"

    def test_no_caller_gets_a_success_from_a_broken_head(self):
        self.break_heads(self.rig.backends.values())
        for number in range(REQUESTS):
            for method, path in (("GET", "/get/"), ("POST", "/once/"),
                                 ("GET", "/all/")):
                status, _, _ = self.rig.ask(number % 2, f"{path}{number}",
                                            method=method)
                self.assertIn(status, (502, 503, 504))

    def test_another_server_answers_in_its_place(self):
        self.break_heads(self.rig.of("single")[:1])
        self.break_heads([self.rig.of("shard-1")[0]])
        whole = 0
        for number in range(REQUESTS):
            path = f"/all/{number}"
            status, headers, body = self.rig.ask(number % 2, path)
            self.assertEqual(200, status)
            parts = headers["basilhoist-shard-stamps"]
            self.assertEqual(self.rig.expected_records(parts, path), body)
            whole += headers["basilhoist-missing-shards"] == "0"
            status, _, body = self.rig.ask(number % 2, f"/get/{number}")
            self.assertEqual(200, status)
            self.assertTrue(body)
        self.assertGreater(whole, 0)


if __name__ == "__main__":
    unittest.main()

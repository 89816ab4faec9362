"""One odd entry among those of the servers ends no router and hides no change."""

import time
import unittest

import process_support as support
import platform_rig

DEPTH = 200000
ODD = {"deep": b"[" * DEPTH + b"]" * DEPTH,
       "deep_objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
       "overflow": b"1e999", "digits": b"9" * 400,
       "bytes": b'"\xff\xfe"', "escape": b'"\\ud800"',
       "port": b'"127.0.0.1:99999"'}
DRAIN_S = 3.0  # of the users' bounds
PERIOD_S = 0.02


class OddEntryTest(unittest.TestCase):

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(seed=support.SEED, routers=2,
                                               shards=4, singles=3)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)
        self.rig.store.raw = dict(ODD)

    def put_odd(self, key):
        self.rig.call(self.rig.store.put, "servers", f"odd-{key}", {
            "service": "single", "address": f"RAW:{key}", "zone": "z-a",
            "slots": 2, "state": "ready", "sequence": 1, "born": 1})

    def check_changes_are_heard(self):
        server = self.rig.of("single")[0]
        self.rig.call(server.drain)
        time.sleep(DRAIN_S)
        since = time.monotonic()
        for number in range(60):
            status, _, _ = self.rig.ask(number % 2, f"/get/{number}")
            self.assertEqual(200, status)
            time.sleep(PERIOD_S)
        self.assertEqual([], [at for _, at in server.arrived if at >= since])
        self.rig.check_alive()

    def test_entries_that_come_later(self):
        self.rig.start()
        for key in ODD:
            self.put_odd(key)
        self.check_changes_are_heard()

    def test_entries_that_are_there_at_the_start(self):
        for key in ODD:
            self.put_odd(key)
        self.rig.start()
        self.check_changes_are_heard()


if __name__ == "__main__":
    unittest.main()

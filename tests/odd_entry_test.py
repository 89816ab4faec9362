"""Odd entries among those of the servers end no router and hide no change."""

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


# Each stands 50 times, so that it also ends a page of the store's listings.
ODD_NAMES = ("spare {:02}", "spare%20{:02}", "spare?after=z{:02}",
             "spare#{:02}", "spare/../{:02}", "spare&x={:02}+",
             "spare\r\nX-Odd: 1\r\n\r\n{:02}", "spare\x00{:02}",
             "sp\u00e4re\u2028{:02}", "s" * 1024 + "{:02}")
COPIES = 50


class OddStoreTest(unittest.TestCase):

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(seed=support.SEED, routers=2,
                                               shards=4, singles=3)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)

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


class OddValuesTest(OddStoreTest):

    def setUp(self):
        super().setUp()
        self.rig.store.raw = dict(ODD)

    def put_odd(self, key):
        self.rig.call(self.rig.store.put, "servers", f"odd-{key}", {
            "service": "single", "address": f"RAW:{key}", "zone": "z-a",
            "slots": 2, "state": "ready", "sequence": 1, "born": 1})

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


class OddNamesTest(OddStoreTest):
    """Names of entries that are no plain words keep no router from the others."""

    def put_odd(self, state):
        for pattern in ODD_NAMES:
            for copy in range(COPIES):
                self.rig.call(self.rig.store.put, "servers",
                              pattern.format(copy), {
                                  "service": "spare", "state": state,
                                  "address": "127.0.0.1:9", "zone": "z-a",
                                  "slots": 2, "sequence": 1, "born": 1})

    def forget_history(self):
        store = self.rig.store
        for writer in list(store.writers):
            writer.close()
        store.put("servers", "last change", {"state": "standby"})
        store.drop_history()

    def test_entries_that_are_there_at_the_start(self):
        self.put_odd("standby")
        self.rig.start()
        self.check_changes_are_heard()

    def test_entries_that_are_listed_again(self):
        self.rig.start()
        self.put_odd("ready")
        self.rig.call(self.forget_history)
        time.sleep(1)
        self.check_changes_are_heard()


if __name__ == "__main__":
    unittest.main()

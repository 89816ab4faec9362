"""Changes that follow a time in which the store was silent must be heard.

A watch that starts while the store is silent is never answered and looks like
one without changes.
"""

import time
import unittest

import process_support as support
import platform_rig

SILENT_S = 2.5  # longer than routers wait between two watches
CONTACT_S = 4.0  # of the users' bounds
DRAIN_S = 3.0
CONFIG_S = 3.0
PERIOD_S = 0.02


class SilentStoreTest(unittest.TestCase):

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(seed=support.SEED, routers=4,
                                               shards=6, singles=3)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)
        self.rig.start()

    def silence_after_a_change(self):
        """All watches end with a change; the next ones meet a silent store."""
        self.rig.call(self.rig.of("single")[1].enter)
        time.sleep(0.1)
        self.rig.publish()
        self.rig.store.mode = "silent"
        time.sleep(SILENT_S)
        self.rig.store.mode = "up"
        time.sleep(CONTACT_S)

    def load(self, seconds):
        until, number = time.monotonic() + seconds, 0
        while time.monotonic() < until:
            self.rig.ask(number % self.rig.count, f"/get/{number}")
            number += 1
            time.sleep(PERIOD_S)

    def test_a_server_that_drains_after_the_silence_gets_nothing(self):
        self.silence_after_a_change()
        server = self.rig.of("single")[0]
        self.rig.call(server.drain)
        time.sleep(DRAIN_S)
        since = time.monotonic()
        self.load(2.0)
        self.assertEqual([], [at for _, at in server.arrived if at >= since])

    def test_a_version_after_the_silence_is_in_force(self):
        self.silence_after_a_change()
        version = self.rig.publish()
        time.sleep(CONFIG_S)
        self.assertEqual({version},
                         {self.rig.dump(router)["table_version"]
                          for router in range(self.rig.count)})


if __name__ == "__main__":
    unittest.main()

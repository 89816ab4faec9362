"""Fleets on one machine do not meet, and a process that ends is noticed."""

import tempfile
import unittest

import process_support as support
from process_support import fleet


class FleetScriptTest(unittest.TestCase):

    def setUp(self):
        self.logs = tempfile.TemporaryDirectory()
        self.addCleanup(self.logs.cleanup)

    def make(self, **options):
        return fleet.Fleet("quetzal", self.logs.name, entries=2,
                           slow_share=0.0, seed=support.SEED, **options)

    def test_two_fleets_have_addresses_of_their_own(self):
        first, second = self.make(), self.make()
        self.addCleanup(first.stop)
        self.addCleanup(second.stop)
        self.assertNotEqual(first.store, second.store)
        self.assertNotEqual(first.entry(0), second.entry(0))
        self.assertNotEqual(first.overlay.read_text(),
                            second.overlay.read_text())

    def test_an_address_is_free_again_after_the_end(self):
        first = self.make()
        store = first.store
        first.stop()
        second = self.make()
        self.addCleanup(second.stop)
        self.assertEqual(store, second.store)

    def test_processes_that_outlive_a_killed_run_keep_its_addresses(self):
        first = self.make()
        self.addCleanup(first.stop)
        first.start()
        # What the end of the script leaves: its own socket is gone.
        first.claim.close()
        second = self.make()
        self.addCleanup(second.stop)
        self.assertNotEqual(first.store, second.store)

    def test_a_process_that_ends_by_itself_fails_the_run(self):
        site = self.make()
        site.start()
        # From outside, as a crash would end it: the fleet is not told.
        site.processes["entry-1"].kill()
        site.processes["entry-1"].wait()
        with self.assertRaises(fleet.UnexpectedEnd) as raised:
            site.stop()
        self.assertIn("entry-1", str(raised.exception))


if __name__ == "__main__":
    unittest.main()

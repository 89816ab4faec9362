"""The ten promises under a short seeded schedule of faults."""

import tempfile
import unittest

import process_support as support
import chaos

SECONDS = 10


class ChaosTest(unittest.TestCase):

    def test_no_promise_is_broken(self):
        with tempfile.TemporaryDirectory() as logs:
            report, breaches, used = chaos.run("quetzal", logs, support.SEED,
                                               SECONDS)
        self.assertEqual({name: [] for name in breaches}, breaches)
        self.assertGreater(len(used), 3)
        answered = sum(group["full"] for group in report["groups"].values())
        self.assertGreater(answered, 0)


if __name__ == "__main__":
    unittest.main()

"""A short seeded run of each fuzzer; scripts/fuzz runs them for longer."""

import os
import pathlib
import subprocess
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
SECONDS = 4


class FuzzTest(unittest.TestCase):

    def test_a_short_run_finds_nothing(self):
        done = subprocess.run(
            [ROOT / "scripts" / "fuzz", "--seconds", str(SECONDS), "--seed",
             os.environ.get("BASILHOIST_SEED", "1")],
            capture_output=True, text=True, check=False, timeout=500)
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
        for target in (ROOT / "tests" / "fuzz").glob("*.cc"):
            self.assertIn(f"fuzz_{target.stem}: ", done.stdout)


if __name__ == "__main__":
    unittest.main()

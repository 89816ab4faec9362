"""What tests of whole processes share."""

import concurrent.futures
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "scripts"))
import fleet  # noqa: E402

SEED = int(os.environ.get("BASILHOIST_SEED", "1"))


def run_classes(names, at_once=3):
    """Runs each test class of the program in a process of its own.

    For cases that mostly wait. Ends the process with the tests' result."""
    def run(name):
        return subprocess.run([sys.executable, sys.argv[0], "-v", name],
                              capture_output=True, text=True, check=False)

    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        results = list(pool.map(run, names))
    for each in results:
        print(each.stdout + each.stderr)
    sys.exit(any(each.returncode for each in results))


class FleetTest(unittest.TestCase):
    """Starts one small fleet for all tests of a class."""

    SITE = "quetzal"
    OPTIONS = {"entries": 4, "slow_share": 0.0, "balancer_lag_ms": 200}

    @classmethod
    def setUpClass(cls):
        cls.logs = tempfile.TemporaryDirectory()
        cls.site = fleet.Fleet(cls.SITE, cls.logs.name, seed=SEED,
                               **cls.OPTIONS)
        cls.addClassCleanup(cls.logs.cleanup)
        cls.addClassCleanup(cls.site.stop)
        cls.site.start()

    def ask(self, method, path, body=None, entry=0, **headers):
        sent = {name.replace("_", "-"): value
                for name, value in headers.items()}
        return fleet.http(method, f"http://{self.site.entry(entry)}{path}",
                          body, sent)

    def query(self, entry=0, request_id="q", group="matchday-desk"):
        return self.ask("POST", f"/v1/groups/{group}/query", {"find": 1},
                        entry, X_Request_Id=request_id)

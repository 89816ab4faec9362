"""Requests that crash each server that runs them are kept out everywhere."""

import concurrent.futures
import sys
import threading
import time
import unittest

import process_support as support
import platform_rig
from platform_rig import Crashes, POISON

CRASHES = 3  # servers that a request may end before it is kept out
KNOWN_WITHIN_S = 4  # everywhere, after the last of them
MOST_REPEATS = 3  # that reach servers later than that


class CrashTest(unittest.TestCase):
    """Callers repeat one request at all routers, beside usual traffic."""

    ROUTERS = 8
    OPTIONS = {"shards": 6, "singles": 9}
    CRASHES = Crashes(back_s=2.0)
    TARGET = f"/get/{POISON}"
    PERIOD_S = 0.5  # of the request that crashes servers
    USUAL_PER_S = 20
    USUAL = "/get/{}"
    SECONDS = 14

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(
            seed=support.SEED, routers=self.ROUTERS, crashes=self.CRASHES,
            **self.OPTIONS)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)
        self.rig.start()
        self.pool = concurrent.futures.ThreadPoolExecutor(32)
        self.addCleanup(self.pool.shutdown)
        self.stopping = threading.Event()
        self.usual = []  # (number, status)
        self.answers = []  # (time, status) of the request that crashes servers

    def ask_usual(self, number):
        status = self.rig.ask(self.rig.random.randrange(self.ROUTERS),
                              self.USUAL.format(number), timeout=4)[0]
        self.usual.append((number, status))

    def play_usual(self):
        number = 0
        while not self.stopping.wait(1 / self.USUAL_PER_S):
            number += 1
            self.pool.submit(self.ask_usual, number)

    def ask_crashing(self, number):
        """A caller, and its one retry at another router."""
        for turn in range(2):
            status = self.rig.ask((number + turn) % self.ROUTERS, self.TARGET,
                                  request_id=f"p{number}-{turn}",
                                  timeout=4)[0]
            self.answers.append((time.monotonic(), status))
            if status == 200:
                return

    def disturb(self, since):
        """Called now and then with the seconds since the load began."""

    def play(self):
        usual = threading.Thread(target=self.play_usual)
        usual.start()
        began = time.monotonic()
        number = 0
        while (since := time.monotonic() - began) < self.SECONDS:
            self.pool.submit(self.ask_crashing, number)
            self.disturb(since)
            number += 1
            time.sleep(max(0, began + number * self.PERIOD_S
                           - time.monotonic()))
        self.stopping.set()
        usual.join()

    def late_repeats(self):
        """Runs of the request after all routers should have known it."""
        times = [at for at, _, _ in self.rig.crash_log]
        self.assertGreaterEqual(len(times), CRASHES, "nothing crashed")
        return [at for at in times if at > times[CRASHES - 1] + KNOWN_WITHIN_S]

    def check_contained(self):
        self.assertLessEqual(len(self.late_repeats()), MOST_REPEATS,
                             f"{len(self.rig.crash_log)} servers crashed")

    def check(self):
        self.play()
        self.check_contained()


class ThinTrafficTest(CrashTest):
    """Few other requests, so that nobody meets the dead server in time."""
    USUAL_PER_S = 1

    def test_crashes_that_no_other_request_confirms_count(self):
        self.check()


class UsualTrafficTest(CrashTest):

    def test_crashes_beside_usual_traffic_count(self):
        self.check()


class BackAtOnceTest(CrashTest):
    CRASHES = Crashes(back_s=0.05)

    def test_servers_that_are_back_at_once_have_crashed(self):
        self.check()


class SameIdTest(CrashTest):
    CRASHES = Crashes(back_s=0.05, same_id=True)

    def test_servers_that_are_back_under_their_id_have_crashed(self):
        self.check()


class OrderlyCloseTest(CrashTest):
    CRASHES = Crashes(back_s=1.0, close=True)

    def test_connections_that_end_in_order_hide_no_crash(self):
        self.check()


class OtherQueryTest(CrashTest):
    """Each repeat asks with another query."""

    def ask_crashing(self, number):
        status = self.rig.ask(number % self.ROUTERS,
                              f"{self.TARGET}?page={number}",
                              request_id=f"p{number}", timeout=4)[0]
        self.answers.append((time.monotonic(), status))

    def test_a_request_that_comes_again_with_another_query_is_known(self):
        self.check()


class FanOutTest(CrashTest):
    """Crashes hit many shards at once, beside many innocent requests."""
    TARGET = f"/all/{POISON}"
    USUAL = "/all/{}"
    PERIOD_S = 1.0

    def test_innocent_requests_do_not_hide_the_one_that_crashes(self):
        self.check()


class RelayedFanOutTest(FanOutTest):
    OPTIONS = {"shards": 8, "singles": 3, "zones": 1}

    def test_innocent_requests_do_not_hide_the_one_that_crashes(self):
        self.check()


class RestartedRoutersTest(CrashTest):
    """Routers are killed one after the other, some without the store."""
    SECONDS = 20

    def setUp(self):
        super().setUp()
        self.restarted = 0

    def disturb(self, since):
        if since < 3 + self.restarted:
            return
        number = self.restarted % self.ROUTERS
        self.restarted += 1
        self.rig.kill(number)
        self.rig.start_router(number)

    def test_a_router_that_restarts_hears_what_crashes_servers(self):
        self.check()


class AllRestartedTest(CrashTest):
    """All routers lose power at once after they have learned."""
    SECONDS = 24

    def setUp(self):
        super().setUp()
        self.due = [9.0, 15.0]

    def disturb(self, since):
        if not self.due or since < self.due[0]:
            return
        self.due.pop(0)
        for number in list(self.rig.processes):
            self.rig.kill(number)
        for number in range(self.ROUTERS):
            self.rig.start_router(number)

    def test_a_restart_of_all_routers_forgets_nothing(self):
        self.check()


class WaitingTest(CrashTest):
    """Many callers send the same request at the same moment."""
    PERIOD_S = 3.0
    BURST = 24

    def ask_crashing(self, number):
        for turn in range(self.BURST):
            self.pool.submit(super().ask_crashing, number * 100 + turn)

    def test_requests_that_wait_are_judged_again(self):
        self.check()


if __name__ == "__main__":
    if len(sys.argv) > 1:
        unittest.main()
    support.run_classes([name for name, each in globals().items()
                         if isinstance(each, type) and
                         any(part.startswith("test_") for part in vars(each))])

"""Few routers of a failure domain read the store; the others hear from them."""

import signal
import time
import unittest

import process_support as support
import platform_rig

CONFIG_BOUND_S = 3.0  # a version is in force everywhere within this
DRAIN_BOUND_S = 3.0  # no request reaches a draining server after this
READERS = 3  # wanted in a failure domain
SETTLE_S = 8.0  # from the start of all until roles are settled


class ReaderTest(unittest.TestCase):
    ROUTERS = 20  # five in each of four failure domains

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(
            seed=support.SEED, routers=self.ROUTERS, shards=4)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)
        self.rig.start()
        self.wait_settled()

    def numbers(self, zone=None):
        return [n for n in range(self.rig.count)
                if zone is None or n % len(self.rig.ZONES) == zone]

    def readers(self, zone=None):
        return [n for n in self.numbers(zone)
                if n in self.rig.processes and self.rig.dump(n)["reads_store"]]

    def wait_settled(self):
        def settled():
            return all(len(self.readers(z)) == READERS
                       for z in range(len(self.rig.ZONES)))
        self.rig.wait(settled, SETTLE_S)

    def assert_in_force(self, version, numbers):
        self.rig.wait(lambda: all(
            self.rig.dump(n)["table_version"] == version for n in numbers),
            CONFIG_BOUND_S)

    def test_only_readers_call_the_store(self):
        before = dict(self.rig.store.calls_at)
        readers = self.readers()
        for _ in range(5):
            version = self.rig.publish()
            self.assert_in_force(version, self.numbers())
        callers = {n for n in self.numbers()
                   if self.rig.store.calls_at[self.rig.store_address(n)]
                   != before.get(self.rig.store_address(n), 0)}
        self.assertEqual(set(readers), callers)

    def test_a_change_is_in_force_though_all_readers_of_a_domain_are_killed(
            self):
        for number in self.readers(1):
            self.rig.kill(number)
        version = self.rig.publish()
        self.assert_in_force(version, [n for n in self.numbers()
                                       if n in self.rig.processes])

    def test_a_change_is_in_force_though_all_readers_of_a_domain_freeze(self):
        frozen = self.readers(1)
        for number in frozen:
            self.rig.processes[number].send_signal(signal.SIGSTOP)
        try:
            version = self.rig.publish()
            self.assert_in_force(version, [n for n in self.numbers()
                                           if n not in frozen])
        finally:
            for number in frozen:
                self.rig.processes[number].send_signal(signal.SIGCONT)
        self.assert_in_force(version, frozen)
        self.wait_settled()

    def test_a_change_is_in_force_though_a_domain_does_not_reach_the_store(
            self):
        for number in self.numbers(2):
            self.rig.store.cut.add(self.rig.store_address(number))
        version = self.rig.publish()
        self.assert_in_force(version, self.numbers())

    def test_a_router_that_restarts_without_the_store_serves_what_is_newest(
            self):
        old = self.rig.version
        version = self.rig.publish()
        self.assert_in_force(version, self.numbers())
        follower = next(n for n in self.numbers() if n not in self.readers())
        self.rig.store.cut.add(self.rig.store_address(follower))
        self.rig.kill(follower)
        self.rig.start_router(follower)
        self.rig.wait(lambda: self.rig.has_begun(follower), 5)
        self.rig.wait(lambda: self.rig.ready(follower), CONFIG_BOUND_S)
        self.assertNotEqual(old, self.rig.dump(follower)["table_version"])
        self.assertEqual(version, self.rig.dump(follower)["table_version"])

    def test_a_server_that_drains_and_ends_gets_no_work_from_followers(self):
        server = self.rig.of("single")[0]
        self.rig.call(server.drain)
        end = time.monotonic() + DRAIN_BOUND_S
        while time.monotonic() < end:
            time.sleep(0.05)
        ran = len(server.ran)
        for number in self.numbers():
            for _ in range(3):
                self.assertEqual(200, self.rig.ask(number, "/get/x")[0])
        self.assertEqual(ran, len(server.ran))

    def test_an_outage_of_the_store_is_not_met_by_all(self):
        self.rig.store.mode = "busy"
        time.sleep(4)
        trying = self.readers()
        self.assertLessEqual(len(trying), 2 * READERS * len(self.rig.ZONES))
        calls = self.rig.store.calls
        time.sleep(2)
        # Each of those that try asks for three kinds, 0.8 s apart.
        most = len(trying) * 3 * (2 / 0.8 + 1)
        self.assertLessEqual(self.rig.store.calls - calls, most)
        self.rig.store.mode = "up"
        version = self.rig.publish()
        self.assert_in_force(version, self.numbers())


if __name__ == "__main__":
    unittest.main()

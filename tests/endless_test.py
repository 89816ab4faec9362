"""Backend servers in trouble send bytes that are no answer until the router
closes: routers keep their memory, and callers get true answers in time."""

import concurrent.futures
import pathlib
import time
import unittest

import process_support as support
import platform_rig

# All replies that a router is reading may take so much more memory; a small
# machine has 160 MB.
MEMORY_BOUND_KB = 48 * 1024
CALLERS = 12
LOAD_S = 3.0
TAIL_S = 0.8  # the route's timeout


class EndlessTest(unittest.TestCase):

    def setUp(self):
        self.rig, logs = platform_rig.open_rig(seed=support.SEED)
        self.addCleanup(logs.cleanup)
        self.addCleanup(self.rig.stop)
        self.rig.start()

    def memory_kb(self, number, field):
        pid = self.rig.processes[number].pid
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
        return int(text.split(f"{field}:")[1].split()[0])

    def load(self, path):
        """@return (seconds taken, status, missing) of each answer"""
        until = time.monotonic() + LOAD_S

        def call(caller):
            answers = []
            number = 0
            while time.monotonic() < until:
                number += 1
                began = time.monotonic()
                status, headers, _ = self.rig.ask(
                    caller % self.rig.count, f"{path}{caller}/{number}")
                answers.append((time.monotonic() - began, status,
                                headers.get("basilhoist-missing-shards")))
            return answers

        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            return [each for some in pool.map(call, range(CALLERS))
                    for each in some]

    def check(self, mode):
        self.load("/all/")  # buffers have their usual size
        before = [self.memory_kb(n, "VmHWM") for n in range(self.rig.count)]
        replicas = [self.rig.of(name)[0] for name in self.rig.shards()]
        singles = self.rig.of("single")[:2]
        for server in replicas + singles:
            server.mode = mode
        for path in ("/all/", "/get/"):
            answers = self.load(path)
            served = [each for each in answers if each[1] == 200]
            # The other replica, or another server, is sound.
            self.assertGreater(len(served), 0.9 * len(answers))
            self.assertLess(max(took for took, _, _ in answers),
                            TAIL_S + 0.5)
        self.assertGreater(sum(s.poured for s in replicas + singles), 0)
        for number, kb in enumerate(before):
            grown = self.memory_kb(number, "VmHWM") - kb
            self.assertLess(grown, MEMORY_BOUND_KB, f"router {number}")
        self.rig.check_alive()

    def test_a_body_without_end(self):
        self.check("endless_body")

    def test_chunks_without_end(self):
        self.check("endless_chunks")

    def test_header_fields_without_end(self):
        self.check("endless_head")

    def test_header_fields_without_end_cut_inside_a_field(self):
        """Fields that no limit counted ended routers by their memory."""
        self.check("endless_short_fields")

    def test_fields_of_an_interim_reply_without_end(self):
        self.check("endless_interim_fields")

    def test_trailer_fields_without_end(self):
        self.check("endless_trailers")

    def test_a_chunk_head_without_end(self):
        self.check("endless_chunk_head")

    def test_a_header_line_without_end(self):
        self.check("endless_line")

    def test_interim_replies_without_end(self):
        self.check("endless_interim")

    def test_noise_without_end(self):
        self.check("endless_noise")


if __name__ == "__main__":
    unittest.main()

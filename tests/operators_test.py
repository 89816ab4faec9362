"""The operators' tool: exit codes, drains, races, lost answers."""

import json
import pathlib
import tempfile
import threading
import time
import unittest

import process_support as support
from process_support import fleet


class OperatorsTest(support.FleetTest):

    def ctl_json(self, *words):
        code, out, _ = self.site.ctl(*words, "--json")
        return code, json.loads(out)

    def test_check_names_file_line_and_key(self):
        with tempfile.TemporaryDirectory() as folder:
            wrong = pathlib.Path(folder) / "wrong.json"
            wrong.write_text(self.site.overlay.read_text().replace(
                '"policy": "record"', '"policy": "recrd"', 1))
            code, out = self.ctl_json("check", fleet.BASE, wrong)
        self.assertEqual(1, code)
        self.assertEqual(1, len(out["faults"]))
        self.assertEqual(str(wrong), out["faults"][0]["file"])
        self.assertGreater(out["faults"][0]["line"], 1)
        self.assertTrue(out["faults"][0]["key"].endswith("/policy"))

    def test_wrong_usage_is_told_apart(self):
        self.assertEqual(2, self.site.ctl("drain")[0])

    def test_apply_twice_with_one_operation_is_one_change(self):
        first = self.site.apply("--operation=op-a", "--json")
        second = self.site.apply("--operation=op-a", "--json")
        self.assertEqual((0, 0), (first[0], second[0]))
        self.assertEqual(json.loads(first[1])["version"],
                         json.loads(second[1])["version"])

    def test_a_change_based_on_an_older_version_is_outrun(self):
        self.assertEqual(0, self.site.apply()[0])
        code, out, _ = self.site.apply("--based-on=1", "--json")
        self.assertEqual(3, code)
        self.assertEqual("outrun", json.loads(out)["outcome"])

    def test_a_lost_answer_is_settled_by_reading_back(self):
        self.site.platform(lose_answers=1)
        code, out, _ = self.site.apply("--json")
        self.assertEqual(0, code, out)

    def test_a_store_that_is_away_means_failed_and_nothing_written(self):
        before = self.site.platform()["writes"]
        self.site.platform(refuse=True)
        try:
            self.assertEqual(5, self.site.apply()[0])
        finally:
            self.site.platform(refuse=False)
        self.assertEqual(before, self.site.platform()["writes"])

    def test_racing_drains_are_merged_and_settings_leave_them_alone(self):
        domains = self.site.info["domains"][:2]
        threads = [threading.Thread(
            target=self.site.drain, args=("drain", "domain", name))
            for name in domains]
        for thread in threads:
            thread.start()
        self.assertEqual(0, self.site.apply()[0])
        for thread in threads:
            thread.join()
        url = f"http://{self.site.store}/v1/objects/quetzal.doc/drains"
        content = json.loads(fleet.http("GET", url)[1]["content"])
        self.assertEqual(set(domains),
                         {each["name"] for each in content["drains"]})
        for name in domains:
            self.assertEqual(0, self.site.drain("return", "domain", name)[0])

    def test_a_name_nobody_knows_cannot_be_drained(self):
        self.assertEqual(1, self.site.drain("drain", "domain", "nowhere")[0])

    def test_a_store_restored_from_older_content_reverts_nothing(self):
        self.site.platform(save=True)
        code, out, _ = self.site.apply("--json", "--wait-s=3",
                                       f"--instances={self.site.all_ops()}")
        self.assertEqual(0, code)
        version = json.loads(out)["version"]
        self.site.platform(restore=True)
        self.site.platform(refuse=True)
        time.sleep(0.5)
        self.site.platform(refuse=False)
        time.sleep(1.0)
        for number in range(self.site.count):
            held = self.site.status(number)["documents"]["config"]
            self.assertGreaterEqual(held, version)
        # The next change is above what instances hold, not what came back.
        code, out, _ = self.site.apply(
            "--json", f"--instances={self.site.all_ops()}")
        self.assertEqual(0, code)
        self.assertGreater(json.loads(out)["version"], version)

    def test_an_instance_starts_from_its_peers_while_the_store_is_away(self):
        self.site.platform(refuse=True)
        try:
            self.site.kill("entry-2")
            self.site.start_entry(2)
            self.site.wait_entry(2)
            self.assertGreater(
                self.site.status(2)["documents"]["config"], 0)
        finally:
            self.site.platform(refuse=False)

    def test_an_instance_that_hears_nobody_is_not_ready(self):
        def ready():
            return fleet.http("GET", f"http://{self.site.ops(3)}/readyz")[0]

        url = f"http://{self.site.ops(3)}/experiment/cut"
        fleet.http("POST", url, [self.site.entry_name(n) for n in range(3)])
        self.site.platform(cut=[self.site.entry_address(3)])
        try:
            self.site._wait(lambda: ready() == 503, timeout=5)
        finally:
            fleet.http("POST", url, [])
            self.site.platform(cut=[])
        self.site.wait_ready()

    def test_status_and_dump(self):
        code, out = self.ctl_json("status", f"--instances={self.site.ops(0)}")
        self.assertEqual(0, code)
        self.assertTrue(out[0]["status"]["ready"])
        code, out, _ = self.site.ctl("dump", self.site.ops(0))
        self.assertEqual(0, code)
        self.assertIn("owner", json.loads(out))

    def test_metrics(self):
        status, text, _ = fleet.http(
            "GET", f"http://{self.site.ops(0)}/metrics")
        self.assertEqual(200, status)
        self.assertIn("basilhoist_requests_total", text)


if __name__ == "__main__":
    unittest.main()

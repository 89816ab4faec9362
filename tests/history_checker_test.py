"""The history checker finds a planted breach of each promise."""

import copy
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "scripts"))
import history  # noqa: E402


def answer(**changes):
    return {"id": "r1", "group": "g", "once": False, "lookup": False,
            "entry": "e1", "verdict": "done", "version": 1, "answered": 2,
            "total": 2, "shards": ["x", "y"], "missing": [], "right": True,
            **changes}


def run(**changes):
    return {"server": "x-a", "request_id": "r1", "shard": "x", "version": 1,
            "at_us": 100e6, "once": False, "outcome": "done", **changes}


def counters(**changes):
    return {"most_over_window": 0, "most_over_slots": 0,
            "most_connections": 2, "connections_limit": 25, "crashes": 0,
            **changes}


def clean():
    return history.History(
        answers=[answer()],
        runs=[run(), run(server="y-a", shard="y")],
        counters={"x-a": counters(), "y-a": counters()},
        events=[{"what": "accepted", "document": "config", "version": 2,
                 "at": 50.0}],
        versions=[{"entry": "e1", "incarnation": 1, "document": "config",
                   "version": 2, "at": 60.0}],
        shard_maps={"g": {1: {"x", "y"}, 2: {"x.0", "x.1"}}},
        domain_of={"x-a": "d1", "y-a": "d2"})


def drain(kind, name, at=90.0):
    return {"what": "drain", "kind": kind, "name": name, "at": at}


BREACHES = {
    "one_snapshot": lambda h: h.runs[0].update(version=2),
    "true_coverage": lambda h: h.answers[0].update(
        shards=["x"], answered=1, total=1),
    "cold_start": lambda h: h.counters["x-a"].update(most_over_window=1),
    "domain_out": lambda h: h.events.append(drain("failure_domain", "d1")),
    "own_answer": lambda h: h.answers[0].update(right=False),
    "not_run": lambda h: h.answers[0].update(verdict="not_run"),
    "at_most_once": lambda h: h.runs.extend([run(once=True, request_id="o"),
                                             run(once=True, request_id="o")]),
    "leaving": lambda h: h.events.append(drain("backend_server", "y-a")),
    "graceful_stop": lambda h: h.answers.append(
        answer(id="r2", verdict="cut", shards=[])),
    "configuration": lambda h: h.versions.append(
        {"entry": "e1", "incarnation": 1, "document": "config", "version": 1,
         "at": 61.0}),
}


class CheckerTest(unittest.TestCase):
    def test_a_clean_history_has_no_breach(self):
        found = history.check(clean())
        self.assertEqual({name: [] for name in history.PROMISES}, found)

    def test_each_planted_breach_is_found_and_no_other(self):
        self.assertEqual(set(history.PROMISES), set(BREACHES))
        for promise, plant in BREACHES.items():
            with self.subTest(promise):
                planted = copy.deepcopy(clean())
                plant(planted)
                found = history.check(planted)
                self.assertTrue(found[promise])
                others = [name for name, list_ in found.items()
                          if list_ and name != promise]
                self.assertEqual([], others)

    def test_more_breaches_of_some_promises(self):
        more = {
            "cold_start": [
                lambda h: h.counters["x-a"].update(most_over_slots=1),
                lambda h: h.counters["x-a"].update(most_connections=26),
                lambda h: h.counters["x-a"].update(crashes=1)],
            "true_coverage": [
                lambda h: h.answers[0].update(version=9),
                lambda h: h.answers[0].update(answered=1)],
            "configuration": [
                lambda h: h.versions[0].update(version=1)],
        }
        for promise, plants in more.items():
            for plant in plants:
                planted = copy.deepcopy(clean())
                plant(planted)
                self.assertTrue(history.check(planted)[promise])

    def test_work_before_a_drain_is_in_force_is_allowed(self):
        late = clean()
        late.events.append(drain("failure_domain", "d1", at=98.0))
        self.assertEqual([], history.check(late)["domain_out"])

    def test_a_cut_at_a_killed_instance_is_allowed(self):
        killed = clean()
        killed.answers.append(answer(id="r2", verdict="cut", shards=[]))
        killed.events.append({"what": "kill", "entry": "e1", "at": 99.0,
                              "until": 100.0})
        self.assertEqual([], history.check(killed)["graceful_stop"])


if __name__ == "__main__":
    unittest.main()

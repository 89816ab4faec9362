"""Bad input gets a plain HTTP error with a verdict and disturbs nobody."""

import socket
import time
import unittest

import process_support as support

QUERY = "/v1/groups/matchday-desk/query"


class CallerInputTest(support.FleetTest):

    def refused(self, reply, status):
        self.assertEqual(status, reply[0], reply[1])
        self.assertEqual("not_run", reply[1]["verdict"])
        self.assertTrue(reply[1]["detail"])

    def test_broken_json(self):
        self.refused(self.ask("POST", QUERY, b"{oops"), 400)

    def test_oversize_body(self):
        body = b'{"find": "' + b"x" * (2 << 20) + b'"}'
        reply = self.ask("POST", QUERY, body)
        # The connection may break while the rest of the body is on its way.
        if reply[0]:
            self.refused(reply, 413)

    def test_unknown_group_operation_path_and_method(self):
        self.refused(self.ask("POST", "/v1/groups/none/query", {}), 404)
        self.refused(self.ask("POST", "/v1/groups/matchday-desk/drop", {}),
                     404)
        self.refused(self.ask("GET", "/somewhere"), 404)
        self.refused(self.ask("GET", QUERY), 405)

    def test_an_operation_that_the_group_does_not_take(self):
        self.refused(self.ask("POST", "/v1/groups/matchday-desk/once", {},
                              X_Request_Id="a"), 403)

    def test_bad_deadline_and_request_id(self):
        for deadline in ("0", "-5", "soon", "60001"):
            self.refused(self.ask("POST", QUERY, {}, X_Deadline_Ms=deadline),
                         400)
        self.refused(self.ask("POST", QUERY, {}, X_Request_Id="a b"), 400)

    def test_once_needs_a_request_id(self):
        self.refused(self.ask("POST", "/v1/groups/club-notices/once", {}),
                     400)

    def test_a_deadline_that_cannot_be_met_ends_in_time(self):
        began = time.monotonic()
        status, answer, _ = self.ask("POST", QUERY, {}, X_Deadline_Ms="1")
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertIn(status, (200, 502, 503, 504))
        self.assertIn(answer["verdict"], ("done", "not_run", "may_have_run"))

    def test_a_slow_body_is_cut_and_disturbs_nobody(self):
        address = self.site.entry_address(0)
        with socket.create_connection((address, 8080)) as slow:
            slow.sendall(b"POST " + QUERY.encode() + b" HTTP/1.1\r\n"
                         b"Host: x\r\nContent-Length: 1000\r\n\r\n")
            slow.settimeout(0.2)
            cut = False
            for _ in range(40):
                try:
                    slow.sendall(b" ")
                    if slow.recv(100) == b"":
                        cut = True
                        break
                except TimeoutError:
                    self.assertEqual(200, self.query()[0])
                except OSError:
                    cut = True
                    break
            self.assertTrue(cut)

    def test_too_many_connections_are_refused_with_a_verdict(self):
        # The limit of this entry is lower than that of the others.
        self.site.terminate("entry-3")
        self.site.start_entry(3, "--max-connections=5")
        self.site.wait_entry(3)
        address = self.site.entry_address(3)
        held = [socket.create_connection((address, 8080)) for _ in range(6)]
        try:
            time.sleep(0.2)
            self.refused(self.query(entry=3), 503)
        finally:
            for each in held:
                each.close()
        time.sleep(0.2)
        self.assertEqual(200, self.query(entry=3)[0])


if __name__ == "__main__":
    unittest.main()

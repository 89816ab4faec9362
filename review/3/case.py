"""Requests whose headers stay within maxHeaderBytes run and get no answer."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig_case  # noqa: E402
from rig_case import platform_rig  # noqa: E402

FIELDS = 268 if rig_case.TROUBLE else 60
VALUE = "v" * 46
REQUESTS = 12  # of each kind
MOST_LOST = 3  # the rule's bound
# What an ordinary HTTP server adds to an answer.
USUAL = [("Server", "records/4.2"), ("Date", "Sat, 05 Dec 2026 06:00:00 GMT"),
         ("Content-Type", "application/octet-stream"),
         ("Cache-Control", "private, no-store"),
         ("Vary", "Accept-Encoding, Cookie"),
         ("Strict-Transport-Security", "max-age=31536000"),
         ("Set-Cookie", "session=" + "5" * 160 + "; Path=/; HttpOnly")]


def usual_headers():
    """Lets the stand-ins for servers send the usual headers too."""
    plain = platform_rig.reply_bytes

    def reply_bytes(status, body=b"", headers=()):
        names = {name for name, _ in headers}
        more = USUAL if "Basilhoist-Server-Signature" in names else []
        return plain(status, body, [*headers, *more])
    platform_rig.reply_bytes = reply_bytes


def play(rig, record):
    limit = rig.routing(1)["limits"]["maxHeaderBytes"]
    headers = [(f"X-F{i:03}", VALUE) for i in range(FIELDS)]
    lost = {}
    for kind, method, path in (("gather", "GET", "/all/{}?q={}"),
                               ("unsafe", "POST", "/once/{}")):
        lost[kind] = 0
        for number in range(REQUESTS):
            name = f"{kind}-{number}"
            caller = rig_case.Caller(rig, number % rig.count)
            # The connection is a kept one: it has had an answer before.
            caller.send(f"{name}-first", "/get/first")
            first = caller.receive()
            size = caller.send(name, path.format(number, number), method,
                               wait_ms=2000, headers=headers)
            answer = caller.receive()
            caller.close()
            ran = rig.ran(name)
            record(f"{name}: first answer {first.status}; head of {size} bytes "
                   f"of {limit} allowed, {FIELDS} fields; ran on {len(ran)} "
                   f"servers; answer {answer.status}, {answer.ended}")
            if size > limit or first.status != 200:
                raise RuntimeError("the case is not as intended")
            lost[kind] += bool(ran) and answer.status == 0
    record(f"run and closed without an answer: {lost}")
    return (rig_case.BROKEN if max(lost.values()) > MOST_LOST
            else rig_case.HELD)


usual_headers()
rig_case.run(pathlib.Path(__file__).parent, play, routers=2, shards=30,
             replicas=2, singles=6)

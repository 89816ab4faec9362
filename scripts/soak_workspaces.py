"""Workspaces and their API keys in a soak: load, rotation and checks."""

import collections
import random
import time

APPLY_S = 5.0  # until a version is in force at routers in touch
NAMES = ("red", "blue", "green")
SURGING, UNRULY = "amber", "grey"
# Rate and burst of each of NAMES, which send 20 requests a second: far below.
USUAL_LIMIT = (60, 60)
# A share of the requests carries a key that no version held, or a removed one.
BAD_SHARE = 0.05


class Key:
    """An API key, and when versions that hold it began and ended."""

    def __init__(self, text, workspace, added):
        self.text, self.workspace, self.added = text, workspace, added
        self.removed = None


class Workspaces:
    """The workspaces of one rig. Each holds a key for good and one that is
    replaced: the new key is published before callers use it, and the old one is
    removed after they have ceased to."""

    def __init__(self, rig, seed):
        self.rig = rig
        self.random = random.Random(f"workspaces of {seed}")
        self.numbers = iter(range(1, 1 << 40))
        self.keys = []
        self.current = {}  # workspace -> keys that callers use
        self.limits = {name: USUAL_LIMIT for name in NAMES}
        rig.keeps_heads = True
        for name in (*NAMES, SURGING, UNRULY):
            self.current[name] = [self._add(name), self._add(name)]

    def _add(self, name):
        key = Key(f"key-{name}-{next(self.numbers)}", name, time.monotonic())
        self.keys.append(key)
        return key

    def set_tenants(self):
        """Those of each version that is published from now on."""
        self.rig.tenants = []
        for name in self.current:
            rate, burst = self.limits.get(name, (0, 0))
            self.rig.tenants.append(
                {"name": name, "ratePerS": rate, "burst": burst,
                 "apiKeys": [key.text for key in self.keys
                             if key.workspace == name
                             and key.removed is None]})

    def _publish(self):
        self.set_tenants()
        self.rig.publish()

    def stable_key(self):
        return self.current[NAMES[0]][0]

    def choose(self, chance):
        """Returns (key, whether it is valid)."""
        if chance.random() < BAD_SHARE:
            removed = [key for key in self.keys if key.removed is not None]
            unknown = Key("key-unknown", None, None)
            return chance.choice([*removed[-3:], unknown]), False
        return chance.choice(self.current[chance.choice(NAMES)]), True

    def rotate(self, at):
        """Replaces a key; at() calls a function after a delay."""
        name = self.random.choice(NAMES)
        new = self._add(name)
        self._publish()

        def use():
            old, self.current[name][1] = self.current[name][1], new
            at(APPLY_S, lambda: remove(old))

        def remove(old):
            old.removed = time.monotonic()
            self._publish()
        at(APPLY_S, use)


def attributed(seen):
    """Servers get the name of the key's workspace, and no key."""
    breaches = []
    for server in seen.servers:
        for name, head in server.heads.items():
            attempt = seen.attempts.get(name)
            if attempt is None or attempt.key is None:
                continue
            if head.get("basilhoist-tenant") != attempt.key.workspace:
                breaches.append(f"{name} reached {server.id} as "
                                f"{head.get('basilhoist-tenant')}")
            if "authorization" in head:
                breaches.append(f"{name} reached {server.id} with its key")
    return breaches


def rejected_keys(seen):
    """No request runs whose key was removed, or never held."""
    breaches = []
    for each in seen.soak.attempts:
        if each.valid or not seen.ran[each.name]:
            continue
        removed = each.key.removed
        if removed is None or (each.sent > removed + APPLY_S and seen.in_touch(
                each.router, removed, each.ended)):
            breaches.append(f"{each.name} ran with a key that was "
                            f"removed at {removed}, {each.sent}")
    return breaches


def allowed_refusal(seen, attempt):
    """Whether a 401 may come: the router may not know the key yet."""
    return attempt.status == 401 and attempt.key is not None and (
        attempt.sent < attempt.key.added + APPLY_S
        or not seen.in_touch(attempt.router, attempt.key.added, attempt.sent))


def counts(soak):
    by_status = collections.Counter(each.status for each in soak.attempts
                                    if not each.valid)
    return {"bad_keys": dict(by_status), "keys": len(soak.workspaces.keys)}

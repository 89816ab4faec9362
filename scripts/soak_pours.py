"""Backend servers in a soak that send bytes without end in place of answers."""

import random
import time

import soak_clients

# A router rejects each of these after 128 KB at most, so that they cost the
# process that plays the servers little.
MODES = ("endless_head", "endless_short_fields", "endless_interim_fields",
         "endless_trailers", "endless_chunk_head", "endless_line",
         "endless_noise")


class Pours:
    """Some servers in trouble at a time, for a short while."""

    def __init__(self, rig, seed):
        self.rig = rig
        self.random = random.Random(f"pours of {seed}")
        self.next_at = 0.0  # set when the load begins
        self.first_delay = self.random.uniform(1, 4)

    def run_due(self, soak):
        if time.monotonic() < self.next_at:
            return
        self.next_at = time.monotonic() + self.random.uniform(2, 5)
        sound = sorted((each for each in soak.usable_servers()
                        if each.mode == "well"), key=lambda each: each.id)
        chosen = self.random.sample(sound, min(len(sound), 3))
        mode = self.random.choice(MODES)
        span = self.random.uniform(0.5, 2)
        soak.used["pour"] = soak.used.get("pour", 0) + 1
        soak.note("pour", span, mode=mode, before=self._memory("VmRSS"))
        event = soak.events[-1]
        for server in chosen:
            server.mode = mode

        def heal():
            event.more["after"] = self._memory("VmHWM")
            for server in chosen:
                server.mode = "well"
        soak.at(span, heal)

    def _memory(self, field):
        """@return KB by (router, process)"""
        processes = list(self.rig.processes.items())
        return {(router, process.pid): kb for router, process in processes
                if (kb := soak_clients.memory_kb(process.pid, field))}


def memory_kept_beside_pours(seen):
    return [f"router {key[0]} has grown by {kb - event.more['before'][key]} KB "
            f"beside {event.more['mode']}"
            for event in seen.of("pour")
            for key, kb in event.more.get("after", {}).items()
            if key in event.more["before"] and
            kb - event.more["before"][key] >= soak_clients.MEMORY_BOUND_KB]


CHECKS = (memory_kept_beside_pours,)


def counts(soak):
    return {"poured": sum(each.poured for each in soak.rig.all_runs)}

"""scripts/bench chaos: the promises under a seeded schedule of faults."""

import sys

import chaos

SECONDS = 28
SHOWN_BREACHES = 5


def run(logs, seed):
    site = "quetzal" if seed % 2 else "sao-bang"
    report, breaches, used = chaos.run(site, logs, seed, SECONDS)
    figures = {}
    for name, found in breaches.items():
        figures[f"promise_{name}_violations"] = (len(found), "breaches")
        for breach in found[:SHOWN_BREACHES]:
            print(f"{name}: {breach}", file=sys.stderr)
    groups = report["groups"].values()
    sent = sum(group["sent"] for group in groups)
    answered = sum(group["full"] + group["partial"] + group["recorded"]
                   for group in groups)
    figures["requests"] = (sent, "requests")
    figures["answered_share"] = (answered / sent, "share")
    figures["full_share"] = (sum(group["full"] + group["recorded"]
                                 for group in groups) / sent, "share")
    figures["faults_injected"] = (sum(used.values()), "faults")
    figures["kinds"] = (len(used), "kinds")
    return figures

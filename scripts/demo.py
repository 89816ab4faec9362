"""Shows the main job for both users; see scripts/demo."""

import json
import sys
import tempfile
import time

import fleet
import platform_rig

QUERIES = {"quetzal": ["matchday-desk", "assessor-portal"],
           "sao-bang": ["sighting-search", "clip-archive"]}
RECORDS = {"quetzal": "roster-clerk", "sao-bang": "station-registry"}
ONCE = {"quetzal": "club-notices", "sao-bang": "club-portal"}

faults = []


def expect(condition, text):
    print(("   ok: " if condition else "   NOT AS EXPECTED: ") + text)
    if not condition:
        faults.append(text)


def ask(site, number, method, path, body=None, request_id=None):
    headers = {"X-Request-Id": request_id} if request_id else {}
    return fleet.http(method, f"http://{site.entry(number)}/v1/groups/{path}",
                      body, headers)


def brief(answer):
    shown = dict(answer)
    shown["results"] = f"[{len(answer.get('results', []))} shards]"
    return json.dumps(shown)


def show_queries(site):
    for group in QUERIES[site.site]:
        services = len(site.group_services()[group])
        for number in range(site.count):
            status, answer, _ = ask(site, number, "POST", f"{group}/query",
                                    {"find": number}, f"demo-{number}")
            full = (status == 200 and
                    answer["coverage"]["answered"] == services)
            if not full:
                break
        print("  ", brief(answer))
        expect(full, f"{group}: a full answer over all {services} services "
                     f"through each of {site.count} entry instances")
    group = RECORDS[site.site]
    status, answer, _ = ask(site, 3, "GET", f"{group}/records/ana-ruiz")
    expect(status == 200 and answer["coverage"]["answered"] == 1,
           f"{group}: one record looked up")


def show_once(site):
    group = ONCE[site.site]
    request = f"appointment-{int(time.time())}"
    first = ask(site, 0, "POST", f"{group}/once", {"match": 7}, request)
    second = ask(site, 5, "POST", f"{group}/once", {"match": 7}, request)
    runs = [run for run in site.runs(once=True)
            if run["request_id"] == request]
    expect(first[0] == 200 and first[1]["verdict"] == "done",
           f"{group}: {request} ran")
    expect(second[2].get("X-Recorded-Outcome") == "1",
           "the same request at another instance gets the recorded outcome")
    expect(len(runs) == 1, f"backend servers ran it {len(runs)} time(s)")


def show_drain(site):
    group = QUERIES[site.site][0]
    index = 1
    domain = site.info["domains"][index]
    load = site.start_load(f"{group}:query:30", 8)
    time.sleep(1)
    code, out, _ = site.drain("drain", "domain", domain, "--wait-s=3")
    print("  ", out.strip())
    expect(code == 0, f"{domain} is taken out")
    time.sleep(3)
    before = sum(each["arrivals"] for each in
                 site.backends(index).values())
    time.sleep(1.5)
    after = sum(each["arrivals"] for each in site.backends(index).values())
    expect(before == after, f"backend servers of {domain} get no new work")
    code, out, _ = site.drain("return", "domain", domain, "--wait-s=3")
    print("  ", out.strip())
    expect(code == 0, f"{domain} is brought back")
    report = fleet.finish_load(load)["groups"][group]
    expect(report["full"] == report["sent"],
           f"all {report['sent']} queries had full answers meanwhile")
    again = sum(each["arrivals"] for each in site.backends(index).values())
    expect(again > after, f"backend servers of {domain} get work again")


def show_partial(site):
    group = QUERIES[site.site][0]
    service, servers = sorted(site.group_services()[group].items())[0]
    site.backends(servers=sorted(servers), draining=True)
    time.sleep(0.2)
    _, answer, _ = ask(site, 2, "POST", f"{group}/query", {"find": 1}, "part")
    print("  ", brief(answer))
    missing = [each["shard"] for each in answer["coverage"]["missing"]]
    expect(missing == [service],
           f"with {service} leaving, the answer says that it lacks {missing}")
    site.backends(servers=sorted(servers), draining=False)


def show_dump(site):
    code, out, _ = site.ctl("status", f"--instances={site.all_ops()}")
    print(out.rstrip())
    expect(code == 0, "all instances report their status")
    code, out, _ = site.ctl("dump", site.ops(0))
    state = json.loads(out)
    servers = state["owner"]["servers"]
    print("   dump of", state["name"], "owns", len(servers),
          "backend servers, for instance", json.dumps(servers[:1]))
    expect(code == 0 and len(servers) > 0, "a dump shows an instance's state")


def show_platform(logs):
    """The platform path: routers, the store's protocol, shards on loopback."""
    print("== platform: 4 routers, 8 shards with 2 servers each")
    rig = platform_rig.Rig(logs, shards=8)
    try:
        rig.start()
        time.sleep(1)  # until routers have heard each other
        show_fan_out(rig, "/all/demo?find=free%20on%20sunday", 0)
        for server in rig.of("shard-3"):
            rig.crash(server.id)
        show_fan_out(rig, "/all/less", 1)
        show_change(rig)
    finally:
        rig.stop()


def show_fan_out(rig, target, missing):
    status, headers, body = rig.ask(1, target)
    left_out = headers.get("basilhoist-missing-shards")
    print(f"   {target}: {status}, {len(body) // platform_rig.RECORD} records, "
          f"{left_out} of {len(rig.shards())} shards missing")
    expect(status == 200 and int(left_out) == missing,
           f"an answer that says that it lacks {missing} shards")
    expect(body == rig.expected_records(headers["basilhoist-shard-stamps"],
                                        target),
           "its records are the greatest of the parts it names")


def show_change(rig):
    routes = rig.routing(0)["routes"]
    routes[1] = dict(routes[1], pathPrefix="/moved/")
    began = time.monotonic()
    version = rig.publish(routes=routes)
    rig.wait(lambda: all(rig.dump(n)["table_version"] == version
                         for n in range(rig.count)))
    took_ms = (time.monotonic() - began) * 1000
    print(f"   version {version} in force on {rig.count} routers "
          f"after {took_ms:.0f} ms")
    expect(took_ms < 3000, "a new routing table is in force within 3 s")
    expect(rig.ask(0, "/moved/x")[0] == 200 and rig.ask(0, "/get/x")[0] == 404,
           "its route is served, the former one is not")


def main():
    with tempfile.TemporaryDirectory() as logs:
        for name in fleet.SITES:
            print(f"== {name}: 8 entry instances, 4 failure domains")
            with fleet.Fleet(name, logs, slow_share=0.0,
                             balancer_lag_ms=300) as site:
                show_queries(site)
                show_once(site)
                show_drain(site)
                show_partial(site)
                show_dump(site)
        show_platform(logs)
    print("demo:", "as expected" if not faults else f"{len(faults)} faults")
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()

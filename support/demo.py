#!/usr/bin/env python3
"""Runs routers and stewards with stand-ins for the platform and the targets, in
the shapes of both deployments. Sends load to every service and, while it runs,
kills a target and then the router and steward of an entry VM. Prints the
outcomes and latencies of the requests and each service's imbalance, churn and
unavailable time. Exits with 1 if ownership or a request's outcome was violated.
"""
import argparse
import json
import sys
import time

import fleet
import verdict


def print_line(text):
    print(text, flush=True)


def start_loads(deployment, seconds):
    loads = {}
    for service in deployment.shape["services"]:
        name = service["name"]
        options = {"seconds": seconds, "requests": 100000, "keys": 500}
        if service["lane"] == "enquiry":
            options |= {"connections": 12, "pause_us": 5000}
        elif service["lane"] == "order":
            options |= {"connections": 6, "pause_us": 10000, "method": "POST",
                        "deadline_ms": 3000}
        else:
            options |= {"connections": 3, "pause_us": 20000,
                        "query": "bytes=200000&work_us=20000"}
        loads[name] = deployment.start_load(name, f"{name}.jsonl", **options)
    return loads


def run(shape, seconds):
    print_line(f"== {shape['name']}: "
               f"{sum(n for _, n in shape['zones'].values())} entry VMs, "
               f"{sum(s['targets'] for s in shape['services'])} targets, "
               f"{len(shape['zones'])} zones")
    with fleet.Fleet(shape) as deployment:
        vm = next(iter(deployment.vms))
        exclusive = shape["services"][0]["name"]
        status, headers, body = fleet.http(
            "GET",
            f"http://{deployment.vms[vm]['callers']}/v1/{exclusive}/key-1")
        print_line(f"one request through {vm}: {status} "
                   f"{headers.get('Figstall-Outcome')} {body.decode().strip()}")
        before = {s["name"]: deployment.owners(s["name"])
                  for s in shape["services"]}
        loads = start_loads(deployment, seconds)
        time.sleep(seconds / 4)
        killed_target = next(name for name, t in deployment.targets.items()
                      if t["service"] == exclusive)
        print_line(f"killing target {killed_target}")
        deployment.kill(f"target/{killed_target}")
        time.sleep(seconds / 4)
        killed_vm = list(deployment.vms)[1]
        print_line(f"killing entry VM {killed_vm}: its router and its steward")
        deployment.kill(f"router/{killed_vm}")
        deployment.kill(f"steward/{killed_vm}")
        deployment.set_listed_vms(without=[killed_vm])
        summaries = {name: json.loads(load.communicate()[0])
                     for name, load in loads.items()}
        after = {s["name"]: deployment.owners(s["name"])
                 for s in shape["services"]}
        return check_run(deployment, summaries, before, after, killed_target)


def check_run(deployment, summaries, before, after, killed_target):
    journal = deployment.read_journal()
    violations = verdict.check_ownership(journal)
    for service in deployment.shape["services"]:
        name = service["name"]
        report = deployment.read_report(f"{name}.jsonl")
        violations += verdict.check_requests(report, journal)
        moved = verdict.churn(before[name], after[name])
        minimum_moves = sum(1 for owner, _ in before[name].values()
                            if owner == killed_target)
        summary = summaries[name]
        print_line(f"{name}: {summary['outcomes']}, "
                   f"p50 {summary['p50_ms']:.1f} ms, "
                   f"p99 {summary['p99_ms']:.1f} ms; imbalance "
                   f"{verdict.imbalance(journal, name):.2f}, churn {moved} "
                   f"(minimum {minimum_moves}), unavailable at most "
                   f"{verdict.unavailable_seconds(report):.2f} s for any key")
    print_line(f"ownership and request checks: {len(violations)} violations")
    for violation in violations[:10]:
        print_line(f"  {violation}")
    return not violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=12,
                        help="how long the load runs for each deployment")
    options = parser.parse_args()
    shapes = (fleet.CARONI, fleet.UMURAGE)
    passed = [run(shape, options.seconds) for shape in shapes]
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()

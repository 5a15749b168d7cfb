#!/usr/bin/env python3
"""Measures the cost of control in real processes that serve no requests, at
three deployment sizes: processor time, memory and orders sent per second by
role, and store calls per second. Prints a table."""
import json
import os
import time

import fleet

SECONDS = 10
TICKS = os.sysconf("SC_CLK_TCK")


def single_zone_shape(targets):
    service = dict(fleet.SMALL["services"][0], targets=targets)
    return dict(fleet.SMALL, services=[service])


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as stat:
        # The fields after the command name; 11 and 12 are utime and stime.
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_megabytes(process):
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as status:
        line = next(s for s in status if s.startswith("VmRSS"))
    return int(line.split()[1]) / 1000


def counter(deployment, vm, name):
    _, _, body = fleet.http(
        "GET", f"http://{deployment.vms[vm]['status']}/figstall/metrics")
    return sum(float(line.rsplit(" ", 1)[1])
               for line in body.decode().splitlines() if line.startswith(name))


def store_calls(deployment):
    _, _, body = fleet.http(
        "GET", f"http://{deployment.platform_address}/standin/calls")
    return json.loads(body)


def sample(deployment, roles):
    cpu = {name: cpu_seconds(deployment.processes[name]) for name in roles}
    orders = {vm: counter(deployment, vm, "figstall_orders_sent_total")
              for vm in deployment.vms}
    return cpu, orders, store_calls(deployment)


def main():
    print("| shape | role | % of a core | MB | orders/s |\n|---|---|---|---|---|")
    for shape in (single_zone_shape(10), single_zone_shape(40), fleet.CARONI):
        name = shape["name"] if shape is fleet.CARONI else (
            f"1 zone, {shape['services'][0]['targets']} targets")
        with fleet.Fleet(shape, log_level="warning") as deployment:
            leaders = {deployment.leader(zone) for zone in shape["zones"]}
            roles = {}
            for vm in deployment.vms:
                steward_role = "leading steward" if vm in leaders else "steward"
                roles[f"steward/{vm}"] = steward_role
                roles[f"router/{vm}"] = "router"
            time.sleep(2)
            before = sample(deployment, roles)
            time.sleep(SECONDS)
            after = sample(deployment, roles)
            for role in ("leading steward", "steward", "router"):
                names = [n for n, r in roles.items() if r == role]
                cpu = max(after[0][n] - before[0][n] for n in names)
                memory = max(resident_megabytes(deployment.processes[n])
                             for n in names)
                orders = max((after[1][n.split("/")[1]] -
                              before[1][n.split("/")[1]]) / SECONDS
                             for n in names) if role != "router" else 0
                print(f"| {name} | {role} | {100 * cpu / SECONDS:.2f} | "
                      f"{memory:.0f} | {orders:.0f} |", flush=True)
            for kind in ("reads", "writes"):
                rate = (after[2][kind] - before[2][kind]) / SECONDS
                print(f"| {name} | store {kind}/s | {rate:.1f} | | |")


if __name__ == "__main__":
    main()

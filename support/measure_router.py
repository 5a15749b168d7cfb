#!/usr/bin/env python3
"""Measures the latency that a router adds to a request and the memory that it
uses: sends the same load to a target directly and through one router, in one
run on loopback. Prints a table."""
import json
import socket

import fleet

ONE_ROUTER_ONE_TARGET = dict(
    fleet.SMALL, zones={"arima": ("northcaroni", 1)},
    services=[dict(fleet.SMALL["services"][0], targets=1)],
    slots=64, connections=200)
# Number of requests by number of connections.
REQUESTS = {1: 3000, 16: 40000, 64: 80000}


def resident_megabytes(process):
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as status:
        line = next(s for s in status if s.startswith("VmRSS"))
    return int(line.split()[1]) / 1000


def measure(deployment, connections, routers, **options):
    load = deployment.start_load("account-enquiry", "measure.jsonl",
                                 routers=routers, connections=connections,
                                 seconds=60,
                                 requests=REQUESTS[connections], **options)
    return json.loads(load.communicate()[0])


def measure_callers(deployment, count):
    """Prints the memory of a router while `count` callers are connected, each
    of which sent one request."""
    address, port = deployment.vms["arima-e1"]["callers"].split(":")
    callers = []
    for number in range(count):
        caller = socket.create_connection((address, int(port)), timeout=10)
        caller.sendall(f"GET /v1/account-enquiry/k{number} HTTP/1.1\r\n"
                       "Host: router\r\n\r\n".encode())
        callers.append(caller)
    answered = sum(caller.recv(4096).startswith(b"HTTP/1.1 200")
                   for caller in callers)
    memory = resident_megabytes(deployment.processes["router/arima-e1"])
    print(f"{answered} of {count} connected callers answered; router resident "
          f"{memory:.0f} MB")
    for caller in callers:
        caller.close()


def main():
    for work_us in (1000, 0):
        print(f"target works {work_us} us; log level warning")
        print("| connections | direct p50/p99 ms | router p50/p99 ms | ratio "
              "p50/p99 | direct/s | router/s |\n|---|---|---|---|---|---|")
        with fleet.Fleet(ONE_ROUTER_ONE_TARGET, work_us=work_us,
                         log_level="warning") as deployment:
            target = next(iter(deployment.targets.values()))["http"]
            router = deployment.vms["arima-e1"]["callers"]
            for connections in REQUESTS:
                direct = None
                process = deployment.start_load(
                    "account-enquiry", "direct.jsonl", routers=target,
                    connections=connections, seconds=60,
                    requests=REQUESTS[connections])
                direct = json.loads(process.communicate()[0])
                routed = measure(deployment, connections, router)
                print(f"| {connections} | {direct['p50_ms']:.2f} / "
                      f"{direct['p99_ms']:.2f} | {routed['p50_ms']:.2f} / "
                      f"{routed['p99_ms']:.2f} | "
                      f"{routed['p50_ms'] / direct['p50_ms']:.2f} / "
                      f"{routed['p99_ms'] / direct['p99_ms']:.2f} | "
                      f"{direct['per_second']:.0f} | "
                      f"{routed['per_second']:.0f} |", flush=True)
            rss = resident_megabytes(deployment.processes["router/arima-e1"])
            print(f"router resident after the run: {rss:.0f} MB")
            measure_callers(deployment, 1000)


if __name__ == "__main__":
    main()

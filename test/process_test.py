#!/usr/bin/env python3
"""Tests of the real programs with the stand-ins on loopback.

Each test brings about a failure under load; its verdict comes from what callers
and targets recorded, never from elapsed time. Usage: process_test.py --list, or
process_test.py NAME.
"""
import json
import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent /
                       "support"))
import fleet  # noqa: E402
import verdict  # noqa: E402

TARGET = "arima-account-enquiry-1"
ORDERS = "arima-work-orders-1"


def start_load(deployment, seconds=6):
    return [deployment.start_load("account-enquiry", "gets.jsonl",
                                  connections=6, pause_us=3000,
                                  requests=100000, seconds=seconds),
            deployment.start_load("work-orders", "posts.jsonl", connections=4,
                                  pause_us=5000, requests=100000,
                                  seconds=seconds,
                                  method="POST", deadline_ms=3000, seed=2)]


def check_results(deployment, loads):
    """Ends the loads; returns the reports after checking what must hold."""
    for load in loads:
        load.communicate()
    journal = deployment.read_journal()
    reports = [deployment.read_report("gets.jsonl"),
               deployment.read_report("posts.jsonl")]
    violations = verdict.check_ownership(journal)
    for report in reports:
        violations += verdict.check_requests(report, journal)
    assert not violations, violations[:5]
    assert all(reports), "a load sent nothing"
    return reports


def outcomes(report):
    return {line["outcome"] for line in report}


def loss_of_target_and_entry_vm():
    with fleet.Fleet(fleet.SMALL) as deployment:
        before = deployment.owners("account-enquiry")
        loads = start_load(deployment)
        time.sleep(1)
        deployment.kill(f"target/{TARGET}")
        time.sleep(1.5)
        deployment.kill("router/arima-e2")
        deployment.kill("steward/arima-e2")
        deployment.set_listed_vms(without=["arima-e2"])
        check_results(deployment, loads)
        after = deployment.owners("account-enquiry")
        lost = [p for p, (owner, _) in before.items() if owner == TARGET]
        moved = [p for p in before if before[p][0] != after[p][0]]
        assert sorted(moved) == sorted(lost), "more moved than was lost"


def frozen_target_returns():
    with fleet.Fleet(fleet.SMALL) as deployment:
        loads = start_load(deployment)
        time.sleep(1)
        deployment.signal(f"target/{TARGET}", signal.SIGSTOP)
        deployment.signal(f"target/{ORDERS}", signal.SIGSTOP)
        time.sleep(2)
        deployment.signal(f"target/{TARGET}", signal.SIGCONT)
        deployment.signal(f"target/{ORDERS}", signal.SIGCONT)
        check_results(deployment, loads)


def frozen_leader_returns():
    with fleet.Fleet(fleet.SMALL) as deployment:
        loads = start_load(deployment, seconds=10)
        leader = deployment.leader("arima")
        deployment.signal(f"steward/{leader}", signal.SIGSTOP)
        deployment.wait_until(lambda: any(
            s and s["leading"] for name in deployment.vms if name != leader
            for s in [deployment.steward_status(name)]), "another leads")
        deployment.kill(f"target/{TARGET}")
        deployment.signal(f"steward/{leader}", signal.SIGCONT)
        check_results(deployment, loads)
        deployment.wait_until(lambda: deployment.leader("arima")
                              not in (None, leader),
                              "the new leader has settled")


def store_out_while_target_dies():
    with fleet.Fleet(fleet.SMALL) as deployment:
        loads = start_load(deployment)
        deployment.inject_store_fault(mode="down")
        time.sleep(1)
        deployment.kill(f"target/{TARGET}")
        gets, _ = check_results(deployment, loads)
        assert outcomes(gets) == {"answered"}, outcomes(gets)
        deployment.inject_store_fault(mode="ok")
        deployment.wait_until(lambda: all(
            owner != TARGET
            for owner, _ in deployment.owners("account-enquiry").values()),
            "the store has the moves that were made without it")


def store_answers_lost():
    with fleet.Fleet(fleet.SMALL) as deployment:
        loads = start_load(deployment)
        deployment.inject_store_fault(mode="lost-answers")
        time.sleep(1)
        deployment.kill(f"target/{TARGET}")
        time.sleep(2)
        deployment.inject_store_fault(mode="ok")
        check_results(deployment, loads)


def graceful_shutdown_completes_requests():
    limits = {"drain_grace_ms": 300}
    with fleet.Fleet(fleet.SMALL, router_limits=limits) as deployment:
        router = "router/arima-e1"
        slow = deployment.start_load("account-enquiry", "slow.jsonl",
                                     connections=8, requests=8,
                                     query="work_us=1500000&bytes=300000",
                                     deadline_ms=8000, seed=3,
                                     routers=deployment.vms["arima-e1"][
                                         "callers"])
        deployment.wait_until(lambda: (
            deployment.router_status("arima-e1") or {}).get(
                "in_flight", 0) >= 8, "all requests are in flight")
        deployment.signal(router, signal.SIGTERM)
        deployment.signal("steward/arima-e1", signal.SIGTERM)
        slow.communicate()
        assert outcomes(deployment.read_report("slow.jsonl")) == {"answered"}
        for name in (router, "steward/arima-e1"):
            assert deployment.processes[name].wait(30) == 0, f"{name} failed"


def planned_stop_lets_a_slow_reader_finish():
    size = 8_000_000
    with fleet.Fleet(fleet.SMALL,
                     router_limits={"drain_grace_ms": 0}) as deployment:
        address, port = deployment.vms["arima-e1"]["callers"].split(":")
        with socket.socket() as reader:
            reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            reader.connect((address, int(port)))
            reader.sendall(b"GET /v1/account-enquiry/k1?bytes=%d HTTP/1.1\r\n"
                           b"Host: router\r\nConnection: close\r\n\r\n" % size)
            answer = reader.recv(1000)
            deployment.signal("router/arima-e1", signal.SIGTERM)
            deployment.wait_until(lambda: (deployment.router_status("arima-e1") or
                                           {"ready": False})["ready"] is False,
                                  "the router is stopping")
            time.sleep(1)
            while True:
                part = reader.recv(1 << 20)
                if not part:
                    break
                answer += part
        body = answer.split(b"\r\n\r\n", 1)[1]
        assert len(body) == size, f"{len(body)} of {size} bytes arrived"
        assert deployment.processes["router/arima-e1"].wait(60) == 0


def leaving_target_gets_no_new_work():
    with fleet.Fleet(fleet.SMALL) as deployment:
        loads = start_load(deployment, seconds=8)
        for vm in (TARGET, ORDERS):
            done = deployment.ctl("leave", vm, "--store",
                                  f"http://{deployment.platform_address}")
            assert done.returncode == 0, done.stderr
        deployment.wait_until(lambda: not any(
            owner in (TARGET, ORDERS)
            for service in ("account-enquiry", "work-orders")
            for owner, _ in deployment.owners(service).values()),
            "both own nothing")
        check_results(deployment, loads)
        for service in ("account-enquiry", "work-orders"):
            runs = [r for r in deployment.read_journal()
                    if r["service"] == service]
            runs.sort(key=lambda run: run["at_us"])
            late = [r for r in runs[-50:] if r["target"] in (TARGET, ORDERS)]
            assert not late, "a leaving target still gets work"


def schemas_roll_and_operators_race():
    with fleet.Fleet(fleet.SMALL, schema=1) as deployment:
        loads = start_load(deployment)
        store = f"http://{deployment.platform_address}"
        before = deployment.owners("account-enquiry")
        deployment.schema = 2
        records = deployment.records()
        records["records"][0] = json.loads(deployment.ctl(
            "show", "--json", "--store", store).stdout)["records"][0]
        path = str(deployment.write_records(records))
        first = deployment.ctl("apply", "--store", store, "--expect", "1", path)
        second = deployment.ctl("apply", "--store", store, "--expect", "1", path)
        assert first.returncode == 0, first.stderr
        assert second.returncode == 3, "the later operator must be told"
        assert "revision 2 is in force, not 1" in second.stderr
        deployment.wait_until(lambda: all(
            deployment.router_status(vm)["revision"] == 2
            for vm in deployment.vms),
            "every router has revision 2")
        unknown = dict(records["records"][0], schema=9)
        bad = deployment.write_records({"records": [unknown]})
        refused = deployment.ctl("apply", "--store", store, str(bad))
        assert refused.returncode == 2
        assert "/records/0/schema" in refused.stderr, refused.stderr
        check_results(deployment, loads)
        assert deployment.owners("account-enquiry") == before
        told = deployment.ctl("explain", "account-enquiry", "key-1", "--store",
                              store)
        assert '"owner"' in told.stdout, told.stdout + told.stderr


def bad_input_disturbs_nothing_else():
    with fleet.Fleet(fleet.SMALL) as deployment:
        loads = start_load(deployment, seconds=10)
        base = f"http://{deployment.vms['arima-e1']['callers']}"
        path = f"{base}/v1/account-enquiry/k1"
        cases = [
            (404, "GET", f"{base}/v1/nothing/k1", {}),
            (400, "GET", f"{base}/v1/account-enquiry", {}),
            (400, "GET", path, {"Figstall-Deadline-Ms": "tomorrow"}),
            (400, "GET", path, {"Figstall-Deadline-Ms": "999999999"}),
            (400, "POST", path, {"Figstall-Request-Id": "mine"}),
            (400, "POST", path, {"Figstall-Request-Id": reissued(deployment)}),
        ]
        for status, method, url, headers in cases:
            got, _, body = fleet.http(method, url, headers=headers,
                                      body="x" if method == "POST" else None)
            assert got == status, (url, headers, got, body)
            assert b"not-run" in body, body
        same_id_with_another_body(base)
        big = fleet.http("GET", path, headers={"Big": "x" * 10_000_000})
        assert big[0] in (0, 400, 413, 431), big[0]
        with socket.create_connection(
                deployment.vms["arima-e1"]["callers"].split(":")) as slow:
            slow.sendall(b"GET /v1/acc")
            deployment.inject_target_fault(TARGET, "garbage")
            time.sleep(1)
            deployment.inject_target_fault(TARGET, "silent")
            time.sleep(1)
            deployment.inject_target_fault(TARGET, "ok")
            slow.sendall(b"ount-enq")
            check_results(deployment, loads)


def reissued(deployment):
    """An id that its router never issued."""
    status = deployment.router_status("arima-e1")
    return f"arima-e1.{status['incarnation']:x}.999999"


def same_id_with_another_body(base):
    _, _, body = fleet.http("POST", f"{base}/figstall/request-ids", "")
    headers = {"Figstall-Request-Id": json.loads(body)["id"]}
    url = f"{base}/v1/work-orders/k1/once"
    first = fleet.http("POST", url, "one", headers)
    again = fleet.http("POST", url, "one", headers)
    other = fleet.http("POST", url, "two", headers)
    assert first[0] == 200 and again[2] == first[2], (first, again)
    assert again[1]["Figstall-Reason"] == "repeat"
    assert other[0] == 422, other


TESTS = [loss_of_target_and_entry_vm, frozen_target_returns,
         planned_stop_lets_a_slow_reader_finish,
         frozen_leader_returns, store_out_while_target_dies,
         store_answers_lost, graceful_shutdown_completes_requests,
         leaving_target_gets_no_new_work, schemas_roll_and_operators_race,
         bad_input_disturbs_nothing_else]


def main():
    by_name = {test.__name__: test for test in TESTS}
    if sys.argv[1:] == ["--list"]:
        print("\n".join(by_name))
        return
    by_name[sys.argv[1]]()


if __name__ == "__main__":
    main()

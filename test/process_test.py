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


def start_load(running, seconds=6):
    return [running.load("account-enquiry", "gets.jsonl", connections=6,
                         pause_us=3000, requests=100000, seconds=seconds),
            running.load("work-orders", "posts.jsonl", connections=4,
                         pause_us=5000, requests=100000, seconds=seconds,
                         method="POST", deadline_ms=3000, seed=2)]


def judge(running, loads):
    """Ends the loads; returns the reports after checking what must hold."""
    for load in loads:
        load.communicate()
    journal = running.journal()
    reports = [running.report("gets.jsonl"), running.report("posts.jsonl")]
    violations = verdict.check_ownership(journal)
    for report in reports:
        violations += verdict.check_requests(report, journal)
    assert not violations, violations[:5]
    assert all(reports), "a load sent nothing"
    return reports


def outcomes(report):
    return {line["outcome"] for line in report}


def loss_of_target_and_entry_vm():
    with fleet.Fleet(fleet.SMALL) as running:
        before = running.owners("account-enquiry")
        loads = start_load(running)
        time.sleep(1)
        running.kill(f"target/{TARGET}")
        time.sleep(1.5)
        running.kill("router/arima-e2")
        running.kill("steward/arima-e2")
        running.list_vms(without=["arima-e2"])
        judge(running, loads)
        after = running.owners("account-enquiry")
        lost = [p for p, (owner, _) in before.items() if owner == TARGET]
        moved = [p for p in before if before[p][0] != after[p][0]]
        assert sorted(moved) == sorted(lost), "more moved than was lost"


def frozen_target_returns():
    with fleet.Fleet(fleet.SMALL) as running:
        loads = start_load(running)
        time.sleep(1)
        running.signal(f"target/{TARGET}", signal.SIGSTOP)
        running.signal(f"target/{ORDERS}", signal.SIGSTOP)
        time.sleep(2)
        running.signal(f"target/{TARGET}", signal.SIGCONT)
        running.signal(f"target/{ORDERS}", signal.SIGCONT)
        judge(running, loads)


def frozen_leader_returns():
    with fleet.Fleet(fleet.SMALL) as running:
        loads = start_load(running, seconds=10)
        leader = running.leader("arima")
        running.signal(f"steward/{leader}", signal.SIGSTOP)
        running.wait(lambda: any(
            s and s["leading"] for name in running.vms if name != leader
            for s in [running.steward_status(name)]), "another leads")
        running.kill(f"target/{TARGET}")
        running.signal(f"steward/{leader}", signal.SIGCONT)
        judge(running, loads)
        running.wait(lambda: running.leader("arima") not in (None, leader),
                     "the new leader has settled")


def store_out_while_target_dies():
    with fleet.Fleet(fleet.SMALL) as running:
        loads = start_load(running)
        running.fault(mode="down")
        time.sleep(1)
        running.kill(f"target/{TARGET}")
        gets, _ = judge(running, loads)
        assert outcomes(gets) == {"answered"}, outcomes(gets)
        running.fault(mode="ok")
        running.wait(lambda: all(
            owner != TARGET
            for owner, _ in running.owners("account-enquiry").values()),
            "the store has the moves that were made without it")


def store_answers_lost():
    with fleet.Fleet(fleet.SMALL) as running:
        loads = start_load(running)
        running.fault(mode="lost-answers")
        time.sleep(1)
        running.kill(f"target/{TARGET}")
        time.sleep(2)
        running.fault(mode="ok")
        judge(running, loads)


def planned_stop_cuts_off_nothing():
    limits = {"drain_grace_ms": 300}
    with fleet.Fleet(fleet.SMALL, router_limits=limits) as running:
        router = "router/arima-e1"
        slow = running.load("account-enquiry", "slow.jsonl", connections=8,
                            requests=8, query="work_us=1500000&bytes=300000",
                            deadline_ms=8000, seed=3,
                            routers=running.vms["arima-e1"]["callers"])
        running.wait(lambda: (running.router_status("arima-e1") or {}).get(
            "in_flight", 0) >= 8, "all requests are in flight")
        running.signal(router, signal.SIGTERM)
        running.signal("steward/arima-e1", signal.SIGTERM)
        slow.communicate()
        assert outcomes(running.report("slow.jsonl")) == {"answered"}
        for name in (router, "steward/arima-e1"):
            assert running.processes[name].wait(30) == 0, f"{name} failed"


def planned_stop_lets_a_slow_reader_finish():
    size = 8_000_000
    with fleet.Fleet(fleet.SMALL,
                     router_limits={"drain_grace_ms": 0}) as running:
        address, port = running.vms["arima-e1"]["callers"].split(":")
        with socket.socket() as reader:
            reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            reader.connect((address, int(port)))
            reader.sendall(b"GET /v1/account-enquiry/k1?bytes=%d HTTP/1.1\r\n"
                           b"Host: router\r\nConnection: close\r\n\r\n" % size)
            answer = reader.recv(1000)
            running.signal("router/arima-e1", signal.SIGTERM)
            running.wait(lambda: (running.router_status("arima-e1") or
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
        assert running.processes["router/arima-e1"].wait(60) == 0


def leaving_target_gets_no_new_work():
    with fleet.Fleet(fleet.SMALL) as running:
        loads = start_load(running, seconds=8)
        for vm in (TARGET, ORDERS):
            done = running.ctl("leave", vm, "--store",
                               f"http://{running.platform}")
            assert done.returncode == 0, done.stderr
        running.wait(lambda: not any(
            owner in (TARGET, ORDERS)
            for service in ("account-enquiry", "work-orders")
            for owner, _ in running.owners(service).values()),
            "both own nothing")
        judge(running, loads)
        for service in ("account-enquiry", "work-orders"):
            runs = [r for r in running.journal() if r["service"] == service]
            runs.sort(key=lambda run: run["at_us"])
            late = [r for r in runs[-50:] if r["target"] in (TARGET, ORDERS)]
            assert not late, "a leaving target still gets work"


def schemas_roll_and_operators_race():
    with fleet.Fleet(fleet.SMALL, schema=1) as running:
        loads = start_load(running)
        store = f"http://{running.platform}"
        before = running.owners("account-enquiry")
        running.schema = 2
        records = running.records()
        records["records"][0] = json.loads(running.ctl(
            "show", "--json", "--store", store).stdout)["records"][0]
        path = str(running.write_records(records))
        first = running.ctl("apply", "--store", store, "--expect", "1", path)
        second = running.ctl("apply", "--store", store, "--expect", "1", path)
        assert first.returncode == 0, first.stderr
        assert second.returncode == 3, "the later operator must be told"
        assert "revision 2 is in force, not 1" in second.stderr
        running.wait(lambda: all(
            running.router_status(vm)["revision"] == 2 for vm in running.vms),
            "every router has revision 2")
        unknown = dict(records["records"][0], schema=9)
        bad = running.write_records({"records": [unknown]})
        refused = running.ctl("apply", "--store", store, str(bad))
        assert refused.returncode == 2
        assert "/records/0/schema" in refused.stderr, refused.stderr
        judge(running, loads)
        assert running.owners("account-enquiry") == before
        told = running.ctl("explain", "account-enquiry", "key-1", "--store",
                           store)
        assert '"owner"' in told.stdout, told.stdout + told.stderr


def bad_input_disturbs_nothing_else():
    with fleet.Fleet(fleet.SMALL) as running:
        loads = start_load(running, seconds=10)
        base = f"http://{running.vms['arima-e1']['callers']}"
        path = f"{base}/v1/account-enquiry/k1"
        cases = [
            (404, "GET", f"{base}/v1/nothing/k1", {}),
            (400, "GET", f"{base}/v1/account-enquiry", {}),
            (400, "GET", path, {"Figstall-Deadline-Ms": "tomorrow"}),
            (400, "GET", path, {"Figstall-Deadline-Ms": "999999999"}),
            (400, "POST", path, {"Figstall-Request-Id": "mine"}),
            (400, "POST", path, {"Figstall-Request-Id": reissued(running)}),
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
                running.vms["arima-e1"]["callers"].split(":")) as slow:
            slow.sendall(b"GET /v1/acc")
            running.target_fault(TARGET, "garbage")
            time.sleep(1)
            running.target_fault(TARGET, "silent")
            time.sleep(1)
            running.target_fault(TARGET, "ok")
            slow.sendall(b"ount-enq")
            judge(running, loads)


def reissued(running):
    """An id that its router never issued."""
    status = running.router_status("arima-e1")
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
         store_answers_lost, planned_stop_cuts_off_nothing,
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

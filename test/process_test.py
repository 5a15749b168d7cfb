#!/usr/bin/env python3
"""Tests real routers and stewards with stand-ins for platform and targets.

Each test causes a failure under load on loopback. Its verdict comes from the
records of callers and targets, never from elapsed time. Usage: process_test.py
--list, or process_test.py NAME.
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

ENQUIRY_TARGET = "arima-account-enquiry-1"
ORDER_TARGET = "arima-work-orders-1"


def start_load(deployment, seconds=6):
    return [deployment.start_load("account-enquiry", "gets.jsonl",
                                  connections=6, pause_us=3000,
                                  requests=100000, seconds=seconds),
            deployment.start_load("work-orders", "posts.jsonl", connections=4,
                                  pause_us=5000, requests=100000,
                                  seconds=seconds,
                                  method="POST", deadline_ms=3000, seed=2)]


def check_results(deployment, loads):
    """Waits for the loads to end, checks ownership and request outcomes, and
    returns the reports."""
    for load in loads:
        load.communicate()
    journal = deployment.read_journal()
    reports = [deployment.read_report("gets.jsonl"),
               deployment.read_report("posts.jsonl")]
    violations = verdict.check_ownership(journal)
    for report in reports:
        violations += verdict.check_requests(report, journal)
    assert not violations, violations[:5]
    assert all(reports), "a load sent no requests"
    return reports


def outcomes(report):
    return {line["outcome"] for line in report}


# Fails if partitions of targets that still run move when one target and one
# entry VM are lost.
def loss_of_target_and_entry_vm():
    with fleet.Fleet(fleet.SMALL) as deployment:
        before = deployment.owners("account-enquiry")
        loads = start_load(deployment)
        time.sleep(1)
        deployment.kill(f"target/{ENQUIRY_TARGET}")
        time.sleep(1.5)
        deployment.kill("router/arima-e2")
        deployment.kill("steward/arima-e2")
        deployment.set_listed_vms(without=["arima-e2"])
        check_results(deployment, loads)
        after = deployment.owners("account-enquiry")
        lost = [p for p, (owner, _) in before.items()
                if owner == ENQUIRY_TARGET]
        moved = [p for p in before if before[p][0] != after[p][0]]
        assert sorted(moved) == sorted(lost), (
            "the moved partitions are not those of the killed target")


# Fails if a target that was frozen while its partitions moved executes
# requests under its old terms afterwards.
def frozen_target_returns():
    with fleet.Fleet(fleet.SMALL) as deployment:
        loads = start_load(deployment)
        time.sleep(1)
        deployment.signal(f"target/{ENQUIRY_TARGET}", signal.SIGSTOP)
        deployment.signal(f"target/{ORDER_TARGET}", signal.SIGSTOP)
        time.sleep(2)
        deployment.signal(f"target/{ENQUIRY_TARGET}", signal.SIGCONT)
        deployment.signal(f"target/{ORDER_TARGET}", signal.SIGCONT)
        check_results(deployment, loads)


# Fails if a leading steward that was frozen until another took over disturbs
# the moves of the new leader when it returns.
def frozen_leader_returns():
    with fleet.Fleet(fleet.SMALL) as deployment:
        loads = start_load(deployment, seconds=10)
        leader = deployment.leader("arima")
        deployment.signal(f"steward/{leader}", signal.SIGSTOP)
        deployment.wait_until(lambda: any(
            s and s["leading"] for name in deployment.vms if name != leader
            for s in [deployment.steward_status(name)]), "another steward leads")
        deployment.kill(f"target/{ENQUIRY_TARGET}")
        deployment.signal(f"steward/{leader}", signal.SIGCONT)
        check_results(deployment, loads)
        deployment.wait_until(lambda: deployment.leader("arima")
                              not in (None, leader),
                              "the new leader has settled")


# Fails if the loss of a target while the store is down makes safe requests
# fail, or if the moves are missing from the store after its return.
def store_out_while_target_dies():
    with fleet.Fleet(fleet.SMALL) as deployment:
        loads = start_load(deployment)
        deployment.inject_store_fault(mode="down")
        time.sleep(1)
        deployment.kill(f"target/{ENQUIRY_TARGET}")
        gets, _ = check_results(deployment, loads)
        assert outcomes(gets) == {"answered"}, outcomes(gets)
        deployment.inject_store_fault(mode="ok")
        deployment.wait_until(lambda: all(
            owner != ENQUIRY_TARGET
            for owner, _ in deployment.owners("account-enquiry").values()),
            "the store holds the moves made while it was down")


# Fails if ownership is violated when the store executes calls but its
# responses are lost while partitions move.
def store_answers_lost():
    with fleet.Fleet(fleet.SMALL) as deployment:
        loads = start_load(deployment)
        deployment.inject_store_fault(mode="lost-answers")
        time.sleep(1)
        deployment.kill(f"target/{ENQUIRY_TARGET}")
        time.sleep(2)
        deployment.inject_store_fault(mode="ok")
        check_results(deployment, loads)


def graceful_shutdown_completes_requests():
    limits = {"drain_grace_ms": 300}
    with fleet.Fleet(fleet.SMALL, router_limits=limits) as deployment:
        router = "router/arima-e1"
        slow_client = deployment.start_load(
            "account-enquiry", "slow.jsonl", connections=8, requests=8,
            query="work_us=1500000&bytes=300000", deadline_ms=8000, seed=3,
            routers=deployment.vms["arima-e1"]["callers"])
        deployment.wait_until(lambda: (
            deployment.router_status("arima-e1") or {}).get(
                "in_flight", 0) >= 8, "all requests are in flight")
        deployment.signal(router, signal.SIGTERM)
        deployment.signal("steward/arima-e1", signal.SIGTERM)
        slow_client.communicate()
        assert outcomes(deployment.read_report("slow.jsonl")) == {"answered"}
        for name in (router, "steward/arima-e1"):
            assert deployment.processes[name].wait(30) == 0, f"{name} failed"


# Fails if a router that stops on SIGTERM cuts off a response that its caller
# still reads.
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
            response = reader.recv(1000)
            deployment.signal("router/arima-e1", signal.SIGTERM)
            deployment.wait_until(lambda: (deployment.router_status("arima-e1") or
                                           {"ready": False})["ready"] is False,
                                  "the router is stopping")
            time.sleep(1)
            while True:
                part = reader.recv(1 << 20)
                if not part:
                    break
                response += part
        body = response.split(b"\r\n\r\n", 1)[1]
        assert len(body) == size, f"{len(body)} of {size} bytes arrived"
        assert deployment.processes["router/arima-e1"].wait(60) == 0


def leaving_target_gets_no_new_work():
    with fleet.Fleet(fleet.SMALL) as deployment:
        loads = start_load(deployment, seconds=8)
        for vm in (ENQUIRY_TARGET, ORDER_TARGET):
            done = deployment.ctl("leave", vm, "--store",
                                  f"http://{deployment.platform_address}")
            assert done.returncode == 0, done.stderr
        deployment.wait_until(lambda: not any(
            owner in (ENQUIRY_TARGET, ORDER_TARGET)
            for service in ("account-enquiry", "work-orders")
            for owner, _ in deployment.owners(service).values()),
            "both leaving targets own no partition")
        check_results(deployment, loads)
        for service in ("account-enquiry", "work-orders"):
            runs = [r for r in deployment.read_journal()
                    if r["service"] == service]
            runs.sort(key=lambda run: run["at_us"])
            late_executions = [
                r for r in runs[-50:]
                if r["target"] in (ENQUIRY_TARGET, ORDER_TARGET)]
            assert not late_executions, "a leaving target still gets requests"


# Fails if the change from schema 1 to 2 moves a partition, if the second of
# two conflicting applies succeeds, or if records of an unknown schema are
# accepted.
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
        assert second.returncode == 3, "the second apply must fail with a conflict"
        assert "revision 2 is in force, not 1" in second.stderr
        deployment.wait_until(lambda: all(
            deployment.router_status(vm)["revision"] == 2
            for vm in deployment.vms),
            "every router has revision 2")
        unknown = dict(records["records"][0], schema=9)
        invalid_path = deployment.write_records({"records": [unknown]})
        refused = deployment.ctl("apply", "--store", store, str(invalid_path))
        assert refused.returncode == 2
        assert "/records/0/schema" in refused.stderr, refused.stderr
        check_results(deployment, loads)
        assert deployment.owners("account-enquiry") == before
        explained = deployment.ctl("explain", "account-enquiry", "key-1",
                                   "--store", store)
        assert '"owner"' in explained.stdout, explained.stdout + explained.stderr


# Fails if invalid, oversized or incomplete requests or garbled or missing
# responses of a target harm other requests.
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
            (400, "POST", path,
             {"Figstall-Request-Id": unissued_request_id(deployment)}),
        ]
        for status, method, url, headers in cases:
            actual_status, _, body = fleet.http(
                method, url, headers=headers,
                body="x" if method == "POST" else None)
            assert actual_status == status, (url, headers, actual_status, body)
            assert b"not-run" in body, body
        check_reused_request_id(base)
        large_header_response = fleet.http(
            "GET", path, headers={"Big": "x" * 10_000_000})
        assert large_header_response[0] in (0, 400, 413, 431), (
            large_header_response[0])
        with socket.create_connection(
                deployment.vms["arima-e1"]["callers"].split(":")) as slow_client:
            slow_client.sendall(b"GET /v1/acc")
            deployment.inject_target_fault(ENQUIRY_TARGET, "garbage")
            time.sleep(1)
            deployment.inject_target_fault(ENQUIRY_TARGET, "silent")
            time.sleep(1)
            deployment.inject_target_fault(ENQUIRY_TARGET, "ok")
            slow_client.sendall(b"ount-enq")
            check_results(deployment, loads)


def unissued_request_id(deployment):
    """A request id of the router's present incarnation that it never issued."""
    status = deployment.router_status("arima-e1")
    return f"arima-e1.{status['incarnation']:x}.999999"


# A repeated request must get the first response; another body under the same
# id must be refused.
def check_reused_request_id(base):
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

"""Runs entries against the emulator under random faults that overlap.

A seed determines the deployment, the load and the faults: of targets, of the
store, evacuations of zones, notices of targets, versions of the desired state, and signals that stop,
freeze, kill and restart entries. Callers keep using their connections until a
process is gone. The emulator checks figstall's guarantees. Usage:

    python3 test/entry_soak_test.py --list
    python3 test/entry_soak_test.py seed_7 [--large]
    python3 test/entry_soak_test.py --seeds 1 50 [--jobs N] [--large]
    python3 test/entry_soak_test.py seed_7 --stopped-targets

A failed seed prints its violations and the folder with the logs.
"""
import argparse
import concurrent.futures
import pathlib
import random
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent /
                       "support"))
from entry_fleet import (RELOAD, STOP_GRACE_S, TERMINATE,  # noqa: E402
                         EntryFleet, freeze_entry, restart_entry, signal_entry,
                         small_scenario)

# In seed 51, the store comes back from a copy older than the first table.
CI_SEEDS = (*range(1, 7), 51)
LEAD_S = 3
LENGTH_S = 20
ZONES = {"north-a": "north", "north-b": "north", "south-a": "south",
         "south-b": "south"}
STORE_FAULTS = ("store-silent", "store-busy", "store-lost-answers",
                "store-compact")
SERVICES = {"accounts": 6, "orders": 4, "archive": 4}


def target_fault(rng):
    """A fault of some targets of one service, which leaves others in order."""
    service = rng.choice(sorted(SERVICES))
    kind = rng.choice(("target-crash", "target-leave", "target-silent",
                       "target-garble", "target-says-leaving", "target-limit",
                       "target-limit", "target-retry-after",
                       "target-says-invalid"))
    return {"kind": kind, "service": service,
            "count": rng.randint(1, SERVICES[service] // 2),
            "at_s": round(rng.uniform(0.3, LENGTH_S - 4), 2),
            "for_s": round(rng.uniform(0.5, 8), 2),
            "strength": 0.2, "value": round(rng.uniform(0.2, 4), 2)}


def disturb_entry(rng, index):
    """Returns the actions of a random disturbance of one entry."""
    at_s = LEAD_S + round(rng.uniform(1, LENGTH_S - 9), 2)
    kind = rng.choice(("stop", "freeze", "kill", "reload"))
    if kind == "reload":
        return [signal_entry(at_s, index, RELOAD)]
    if kind == "stop":
        return [signal_entry(at_s, index, TERMINATE),
                restart_entry(at_s + STOP_GRACE_S, index)]
    if kind == "kill":
        return [restart_entry(at_s, index)]
    return freeze_entry(at_s, index, for_s=round(rng.uniform(0.3, 6), 2))


def empty_zone(rng, fleet):
    """Returns the actions that stop all entries of one zone, for good or until
    they start again."""
    zone = rng.choice(sorted(fleet.zones))
    at_s = LEAD_S + round(rng.uniform(0.5, 4), 2)
    back_s = at_s + STOP_GRACE_S + round(rng.uniform(0, 4), 2)
    returns = rng.random() < 0.5
    actions = []
    for index, entry in enumerate(fleet.entries):
        if entry.name.startswith(zone):
            actions.append(signal_entry(at_s, index, TERMINATE))
            if returns:
                actions.append(restart_entry(back_s, index))
    return actions


def stopped_targets(seed):
    """Faults of targets that handle nothing for a while. Such a target may
    take a grant after its range has moved, which is a violation, so these
    faults are drawn on request only."""
    rng = random.Random(f"stopped {seed}")
    return [{"kind": "target-stopped", "service": "accounts",
             "count": rng.randint(1, 3),
             "at_s": round(rng.uniform(0.3, LENGTH_S - 6), 2),
             "for_s": round(rng.uniform(0.5, 11), 2),
             "keeps_entry": rng.random() < 0.5}
            for _ in range(rng.choice((1, 2)))]


def run_seed(seed, large, with_stopped_targets):
    """Returns the violations of a run and the folder with its logs."""
    rng = random.Random(seed)
    zones = dict(list(ZONES.items())[:rng.randint(2, len(ZONES))])
    fleet = EntryFleet(zones, 8 if large else rng.randint(1, 2),
                       {"evacuation": {"limit_s": 5}})
    faults = [target_fault(rng) for _ in range(rng.randint(3, 8))]
    for _ in range(rng.randint(0, 2)):
        faults.append({"kind": rng.choice(STORE_FAULTS),
                       "at_s": round(rng.uniform(0.3, LENGTH_S - 6), 2),
                       "for_s": round(rng.uniform(0.3, 5), 2)})
    # Drawn by itself, so that the rest of a seed's run stays as it was.
    restore_rng = random.Random(f"restore {seed}")
    for _ in range(restore_rng.choice((0, 1, 1, 2))):
        faults.append({"kind": "store-restored",
                       "at_s": round(restore_rng.uniform(1, LENGTH_S - 7), 2),
                       "for_s": round(restore_rng.uniform(0.2, 3), 2),
                       "value": round(restore_rng.uniform(0.5, 10), 2)})
    reborn_rng = random.Random(f"reborn {seed}")
    for _ in range(reborn_rng.choice((0, 1, 2, 3))):
        faults.append({"kind": reborn_rng.choice(("target-reborn",
                                                  "target-restart")),
                       "service": "accounts", "count": reborn_rng.randint(1, 3),
                       "at_s": round(reborn_rng.uniform(0.3, LENGTH_S - 6), 2),
                       "for_s": round(reborn_rng.uniform(0.1, 4), 2)})
    for _ in range(reborn_rng.choice((0, 0, 1, 2))):
        faults.append({"kind": "store-rejects-entry",
                       "entry": reborn_rng.randrange(len(fleet.entries)),
                       "at_s": round(reborn_rng.uniform(0.3, LENGTH_S - 9), 2),
                       "for_s": round(reborn_rng.uniform(0.5, 9), 2)})
    revoke_rng = random.Random(f"revoke {seed}")
    for _ in range(revoke_rng.choice((0, 0, 1, 2))):
        faults.append({"kind": "store-revokes-entry",
                       "entry": revoke_rng.randrange(len(fleet.entries)),
                       "at_s": round(revoke_rng.uniform(0.3, LENGTH_S - 9), 2),
                       "for_s": round(revoke_rng.uniform(0.5, 9), 2)})
    limits_rng = random.Random(f"limits {seed}")
    initial_limits = {"idleTimeoutS": limits_rng.choice((1, 2, 5, 15))}
    for _ in range(limits_rng.choice((0, 1, 2, 4))):
        faults.append({"kind": "desired-state",
                       "at_s": round(limits_rng.uniform(0.3, LENGTH_S - 3), 2),
                       "limits": {"idleTimeoutS":
                                  limits_rng.choice((0.5, 1, 3, 6, 15))},
                       "timeout_ms": limits_rng.choice((600, 1000, 2500)),
                       "more_routes": limits_rng.choice((0, 0, 50, 400)),
                       "versions": limits_rng.choice((1, 1, 5, 30))})
    accept_rng = random.Random(f"accept {seed}")
    for _ in range(accept_rng.choice((0, 1, 2))):
        service = accept_rng.choice(sorted(SERVICES))
        late = {"kind": "target-accepts-late", "service": service,
                "count": accept_rng.randint(1, SERVICES[service] // 2),
                "at_s": round(accept_rng.uniform(0.3, LENGTH_S - 6), 2),
                "for_s": round(accept_rng.uniform(0.5, 5), 2)}
        faults.append(late)
        # Some leave while requests wait for their connections.
        if accept_rng.random() < 0.5:
            faults.append({**late, "kind": "target-says-leaving",
                           "at_s": round(late["at_s"] + 0.3, 2),
                           "for_s": round(late["for_s"] + 3, 2)})
    handover_rng = random.Random(f"handover {seed}")
    if handover_rng.random() < 0.5:
        faults.append({"kind": "target-spoils-handovers", "service": "accounts",
                       "count": handover_rng.randint(1, SERVICES["accounts"]),
                       "at_s": round(handover_rng.uniform(0, 4), 2),
                       "for_s": round(handover_rng.uniform(2, LENGTH_S), 2)})
    evacuate_rng = random.Random(f"evacuate {seed}")
    for zone in evacuate_rng.sample(sorted(zones),
                                    evacuate_rng.choice((0, 1, 1, 2))):
        faults.append({"kind": "zone-evacuated", "zone": zone,
                       "at_s": round(evacuate_rng.uniform(0.3, LENGTH_S - 9),
                                     2),
                       "for_s": round(evacuate_rng.uniform(1, 9), 2)})
    if with_stopped_targets:
        faults += stopped_targets(seed)
    actions = []
    indices = list(range(len(fleet.entries)))
    rng.shuffle(indices)
    # One disturbance an entry, and one entry at least without.
    for index in indices[:rng.randint(1, max(1, len(indices) - 1))]:
        actions += disturb_entry(rng, index)
    zone_rng = random.Random(f"zone {seed}")
    if zone_rng.random() < 0.4:
        actions += empty_zone(zone_rng, fleet)
    scenario = small_scenario(fleet, length_s=LENGTH_S, faults=faults,
                              rate=rng.uniform(0.5, 2.5))
    scenario["limits"] = initial_limits
    for service in scenario["services"].values():
        service["work_ms"] = rng.choice((10, 25, 80, 200))
    # The larger of the two is streamed.
    scenario["services"]["archive"]["answer_bytes"] = reborn_rng.choice(
        (90_000, 400_000))
    for route in scenario["routes"].values():
        route["keep_connections"] = rng.random() < 0.7
        route["deadline_ms"] = rng.choice((600, 1000, 2500))
    reader_rng = random.Random(f"slow readers {seed}")
    if reader_rng.random() < 0.5:
        drawing = scenario["routes"]["drawing"]
        drawing["slow_readers"] = {"share": 0.5, "bytes_per_s": 200_000}
        drawing["deadline_ms"] = 3000
        scenario["services"]["archive"]["answer_bytes"] = 400_000
    upload_rng = random.Random(f"uploads {seed}")
    if upload_rng.random() < 0.5:
        # More than the kernels between an entry and a target hold.
        scenario["services"]["documents"] = {
            "targets": fleet.targets(3), "responds_early": True,
            "answer_bytes": upload_rng.choice((40_000, 400_000))}
        scenario["routes"]["upload"] = {
            "host": "a.example", "prefix": "/upload/", "kind": "unsafe",
            "service": "documents", "per_second": 0.6,
            "deadline_ms": 2500, "body_bytes": 12_000_000}
        scenario["faults"].append({
            "kind": "target-garble", "service": "documents", "count": 3,
            "at_s": 0, "for_s": LENGTH_S, "strength": 0.5})
    report, _ = fleet.run(scenario, actions, seed=seed)
    if report is None:
        return ["the emulator wrote no report"], fleet.directory
    served = sum(route["statuses"].get("200", 0)
                 for route in report["routes"].values())
    violations = list(report["violations"])
    if served == 0:
        violations.append("no request was served")
    for entry in fleet.entries:
        errors = [line for line in entry.log()
                  if line["event"] == "unexpected-error"]
        if errors:
            violations.append(f"{entry.name}: {errors[0]}")
    if violations and fleet.late_actions:
        violations.insert(0, "actions came later than the checks allow for, by "
                             f"{fleet.late_actions} s")
    return violations, fleet.directory


def run_in_process(seed, options):
    command = [sys.executable, __file__, f"seed_{seed}"]
    if options.large:
        command.append("--large")
    if options.stopped_targets:
        command.append("--stopped-targets")
    return seed, subprocess.run(command, capture_output=True, text=True,
                                check=False)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("name", nargs="?")
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--seeds", nargs=2, type=int)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--stopped-targets", action="store_true")
    options = parser.parse_args()
    if options.list:
        return print("\n".join(f"seed_{seed}" for seed in CI_SEEDS))
    if options.name:
        violations, logs = run_seed(int(options.name.removeprefix("seed_")),
                                    options.large, options.stopped_targets)
        if violations:
            sys.exit("\n".join([f"{options.name}: logs in {logs}", *violations]))
        return None
    failed = 0
    first, last = options.seeds
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(run_in_process, seed, options)
                for seed in range(first, last + 1)]
        for run in concurrent.futures.as_completed(runs):
            seed, result = run.result()
            failed += result.returncode != 0
            print(f"seed {seed}: "
                  f"{'ok' if result.returncode == 0 else result.stderr}",
                  flush=True)
    print(f"{last + 1 - first - failed} passed, {failed} failed")
    return sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

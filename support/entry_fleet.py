"""Starts figstall-entry processes against figstall-emulator on loopback.

Example:

    fleet = EntryFleet(zones={"arima": "north", "sando": "south"}, entries=2)
    report = fleet.run(scenario)
"""
import fcntl
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
# Seconds between the platform's SIGTERM and its SIGKILL.
STOP_GRACE_S = 6


# These ports lie below the range from which the system takes the ports of
# outgoing connections, so that a port stays free while its process is stopped.
FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK = 10_000, 32_000, 64
BLOCKS = (LAST_PORT - FIRST_PORT) // PORTS_PER_BLOCK
LOCKS = pathlib.Path(tempfile.gettempdir()) / "figstall-ports"
# Ports of the blocks that this process has taken, and the locks, which last as
# long as it does.
_own_ports = []
_locks = []


def _take_block():
    """Takes a block of ports that no other process has."""
    LOCKS.mkdir(exist_ok=True)
    for i in range(BLOCKS):
        block = (os.getpid() + i) % BLOCKS
        lock = open(LOCKS / str(block), "w", encoding="utf-8")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        _locks.append(lock)
        first = FIRST_PORT + block * PORTS_PER_BLOCK
        _own_ports.extend(range(first, first + PORTS_PER_BLOCK))
        return
    raise RuntimeError("all blocks of ports are taken")


def free_ports(count):
    """Returns ports on which nothing listens, each only once in all processes
    that run at the same time."""
    ports = []
    while len(ports) < count:
        if not _own_ports:
            _take_block()
        port = _own_ports.pop(0)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def address(port):
    return f"127.0.0.1:{port}"


class Entry:
    """A figstall-entry process that can receive signals and be restarted."""

    def __init__(self, directory, name, zone, regions, store, settings):
        callers, ready, metrics, peers = free_ports(4)
        self.name = name
        self.store = store
        self.callers = address(callers)
        self.ready_port = ready
        self.log_path = directory / f"{name}.log"
        self.settings_path = directory / f"{name}.json"
        self.settings_path.write_text(json.dumps({
            "vm": name, "zone": zone, "region": regions[zone],
            "listen": {"callers": self.callers, "ready": address(ready),
                       "metrics": address(metrics), "peers": address(peers)},
            "store": store, "regions": regions,
            "log": {"level": "info", "format": "json"},
            "stop_grace_s": STOP_GRACE_S, **settings}))
        self.process = None

    def start(self, first_start=True):
        """Starts the process. `first_start`: whether the whole system starts for
        the first time."""
        settings = json.loads(self.settings_path.read_text(encoding="utf-8"))
        settings["first_start"] = first_start
        self.settings_path.write_text(json.dumps(settings))
        log = open(self.log_path, "a", encoding="utf-8")
        # Ends the last line of a process that was killed while writing it.
        if log.tell() > 0 and not self.log_path.read_bytes().endswith(b"\n"):
            log.write("\n")
            log.flush()
        self.process = subprocess.Popen(
            [str(BIN / "figstall-entry"), "--settings",
             str(self.settings_path)],
            stdout=log, stderr=subprocess.STDOUT)

    def send_signal(self, signal_number):
        self.process.send_signal(signal_number)

    def kill(self):
        """Sends SIGKILL and waits for the end of the process."""
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def log(self):
        """Returns the JSON log lines written so far."""
        lines = self.log_path.read_text(encoding="utf-8").splitlines()
        # A process that is killed may leave its last line cut off.
        return [json.loads(line) for line in lines
                if line.startswith("{") and line.endswith("}")]


# Seconds for which what targets said before does not bind an entry that was
# frozen, or killed and started again.
RECOVERY_AFTER_FREEZE_S = 0.5
RECOVERY_AFTER_KILL_S = 1.5
# An action may be this much later than planned.
ACTION_DELAY_S = 0.1


class Action(typing.NamedTuple):
    """Something that happens to the fleet during a run."""
    # Since the start of the run.
    at_s: float
    # Called with the fleet.
    call: typing.Callable
    # The emulator's fault that tells its checks of the action, with the entry
    # and the duration, or None.
    fault: typing.Optional[dict] = None

    def scenario_faults(self, lead_s):
        if not self.fault:
            return []
        at_s = max(0, self.at_s - lead_s - ACTION_DELAY_S)
        return [dict(self.fault, at_s=at_s,
                     for_s=self.fault["for_s"] + 2 * ACTION_DELAY_S)]


class EntryFleet:
    """The entries of several zones, and the emulator that provides their store,
    targets and callers."""

    def __init__(self, zones, entries, settings=None):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="figstall-"))
        self.zones = zones
        # The store has an address of its own for each entry, so that it can
        # reject single ones.
        self.entries = [
            Entry(self.directory, f"{zone}-e{i + 1}", zone, zones,
                  address(free_ports(1)[0]), settings or {})
            for zone in zones for i in range(entries)]
        self.plot_path = self.directory / "plot.svg"
        self.emulator = None
        # Seconds by which actions of the last run were later than the emulator's
        # checks allow for.
        self.late_actions = []

    def targets(self, count):
        """Returns `count` targets at free ports, distributed over the zones."""
        zones = list(self.zones)
        return [{"address": address(port), "zone": zones[i % len(zones)]}
                for i, port in enumerate(free_ports(count))]

    def start_mover(self, entry, timeout_s=2):
        """Starts one entry and waits until it is the elected mover, so that the
        others, started later, are not."""
        entry.start()
        until = time.monotonic() + timeout_s
        while time.monotonic() < until and not any(
                line["event"] == "mover-elected" for line in entry.log()):
            time.sleep(0.05)

    def start(self, scenario, seed=1, first_mover=None):
        scenario = dict(scenario,
                        stores=[entry.store for entry in self.entries],
                        entries=[entry.callers for entry in self.entries])
        path = self.directory / "scenario.json"
        path.write_text(json.dumps(scenario))
        self.emulator = subprocess.Popen(
            [str(BIN / "figstall-emulator"), "--scenario", str(path),
             "--report", str(self.directory / "report.json"),
             "--plot", str(self.plot_path), "--seed", str(seed)])
        if first_mover is not None:
            self.start_mover(self.entries[first_mover])
        for index, entry in enumerate(self.entries):
            if index != first_mover:
                entry.start()

    def report(self):
        """Waits for the emulator to exit; returns its report, or None if it
        wrote none, and its exit status."""
        status = self.emulator.wait()
        report = self.directory / "report.json"
        return (json.loads(report.read_text()) if report.exists() else None,
                status)

    def stop(self):
        for entry in self.entries:
            entry.kill()
        if self.emulator and self.emulator.poll() is None:
            self.emulator.kill()
            self.emulator.wait()

    def run(self, scenario, actions=(), seed=1, first_mover=None):
        """Runs a scenario and the actions in the order of their times. The entry
        with the index `first_mover`, if any, is the first elected mover."""
        # The emulator counts from the same moment, however long it takes to
        # start.
        begin_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        faults = [fault for action in actions
                  for fault in action.scenario_faults(scenario["lead_s"])]
        scenario = dict(scenario, begins_at_s=begin_s,
                        faults=scenario.get("faults", []) + faults)
        try:
            self.start(scenario, seed, first_mover)
            for action in sorted(actions, key=lambda action: action.at_s):
                time.sleep(max(0.0, begin_s + action.at_s -
                               time.clock_gettime(time.CLOCK_BOOTTIME)))
                action.call(self)
                late_s = (time.clock_gettime(time.CLOCK_BOOTTIME) - begin_s -
                          action.at_s)
                if action.fault and late_s > ACTION_DELAY_S:
                    self.late_actions.append(round(late_s, 2))
            return self.report()
        finally:
            self.stop()


def small_scenario(fleet, length_s=8, faults=(), rate=1.0):
    """A small scenario with the request kinds of both deployments: safe
    requests for keys, unsafe requests and downloads."""
    return {
        "lead_s": 3, "length_s": length_s,
        "services": {
            "accounts": {"targets": fleet.targets(6), "keyed": True,
                         "slots": 4, "work_ms": 20},
            "orders": {"targets": fleet.targets(4), "slots": 4, "work_ms": 25},
            "archive": {"targets": fleet.targets(4), "slots": 4, "work_ms": 15,
                        "answer_bytes": 90000}},
        "routes": {
            "balance": {"host": "a.example", "prefix": "/balance/",
                        "kind": "safe", "service": "accounts",
                        "per_second": 60 * rate},
            "order": {"host": "a.example", "prefix": "/order/",
                      "kind": "unsafe", "service": "orders",
                      "per_second": 30 * rate},
            "drawing": {"host": "a.example", "prefix": "/drawing/",
                        "kind": "download", "service": "archive",
                        "per_second": 10 * rate}},
        "faults": list(faults)}


def signal_entry(at_s, index, signal_number):
    """Returns the action that sends a signal to one entry."""
    fault = {"kind": "entry-stopping", "entry": index,
             "for_s": STOP_GRACE_S + RECOVERY_AFTER_KILL_S}
    return Action(at_s, lambda fleet: fleet.entries[index].send_signal(
        signal_number), fault if signal_number == TERMINATE else None)


def freeze_entry(at_s, index, for_s):
    """Returns the actions that stop one entry and let it continue."""
    return [signal_entry(at_s, index, signal.SIGSTOP)._replace(
                fault={"kind": "entry-frozen", "entry": index,
                       "for_s": for_s + RECOVERY_AFTER_FREEZE_S}),
            signal_entry(at_s + for_s, index, signal.SIGCONT)]


def restart_entry(at_s, index):
    """Returns the action that kills one entry and starts it again."""
    def restart(fleet):
        fleet.entries[index].kill()
        fleet.entries[index].start(first_start=False)
    return Action(at_s, restart, {"kind": "entry-killed", "entry": index,
                                  "for_s": RECOVERY_AFTER_KILL_S})


TERMINATE, RELOAD = signal.SIGTERM, signal.SIGHUP

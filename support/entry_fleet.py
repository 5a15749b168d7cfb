"""Starts figstall-entry processes against figstall-emulator on loopback.

Example:

    fleet = EntryFleet(zones={"arima": "north", "sando": "south"}, entries=2)
    report = fleet.run(scenario)
"""
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
# Seconds between the platform's SIGTERM and its SIGKILL.
STOP_GRACE_S = 6


# These ports lie below the range from which the system takes the ports of
# outgoing connections, so that a port stays free while its process is stopped.
FIRST_PORT, LAST_PORT, PORTS_PER_RUN = 10_000, 32_000, 64
_next_port = FIRST_PORT + os.getpid() * PORTS_PER_RUN % (LAST_PORT - FIRST_PORT)


def free_ports(count):
    """Returns ports on which nothing listens, no port twice until the range is
    used up."""
    global _next_port
    ports = []
    while len(ports) < count:
        port, _next_port = _next_port, _next_port + 1
        if _next_port >= LAST_PORT:
            _next_port = FIRST_PORT
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

    def __init__(self, directory, name, zone, regions, store):
        callers, ready, metrics, peers = free_ports(4)
        self.name = name
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
            "stop_grace_s": STOP_GRACE_S}))
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            [str(BIN / "figstall-entry"), "--settings",
             str(self.settings_path)],
            stdout=open(self.log_path, "a", encoding="utf-8"),
            stderr=subprocess.STDOUT)

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
        return [json.loads(line) for line in lines if line.startswith("{")]


class EntryFleet:
    """The entries of several zones, and the emulator that provides their store,
    targets and callers."""

    def __init__(self, zones, entries):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="figstall-"))
        self.zones = zones
        self.store = address(free_ports(1)[0])
        self.entries = [
            Entry(self.directory, f"{zone}-e{i + 1}", zone, zones, self.store)
            for zone in zones for i in range(entries)]
        self.plot_path = self.directory / "plot.svg"
        self.emulator = None

    def targets(self, count):
        """Returns `count` targets at free ports, distributed over the zones."""
        zones = list(self.zones)
        return [{"address": address(port), "zone": zones[i % len(zones)]}
                for i, port in enumerate(free_ports(count))]

    def start(self, scenario, seed=1):
        scenario = dict(scenario, store=self.store,
                        entries=[entry.callers for entry in self.entries])
        path = self.directory / "scenario.json"
        path.write_text(json.dumps(scenario))
        self.emulator = subprocess.Popen(
            [str(BIN / "figstall-emulator"), "--scenario", str(path),
             "--report", str(self.directory / "report.json"),
             "--plot", str(self.plot_path), "--seed", str(seed)])
        for entry in self.entries:
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

    def run(self, scenario, actions=(), seed=1):
        """Runs a scenario. `actions` are pairs of seconds since the start and a
        function that is called with this fleet."""
        begin = time.monotonic()
        try:
            self.start(scenario, seed)
            for offset_s, action in sorted(actions, key=lambda pair: pair[0]):
                time.sleep(max(0.0, begin + offset_s - time.monotonic()))
                action(self)
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


def signal_entry(index, signal_number):
    """Returns an action that sends a signal to one entry."""
    return lambda fleet: fleet.entries[index].send_signal(signal_number)


def restart_entry(index):
    """Returns an action that kills one entry and starts it again."""
    def restart(fleet):
        fleet.entries[index].kill()
        fleet.entries[index].start()
    return restart


STOP, CONTINUE, TERMINATE = signal.SIGSTOP, signal.SIGCONT, signal.SIGTERM

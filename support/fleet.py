"""Starts routers and stewards, and stand-ins for the platform and the targets,
as separate processes on loopback.

Used by the demonstration, the measurements and the tests of real processes. The
kernel picks the ports. Each process is ended by its own process id.
"""
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("FIGSTALL_BIN", ROOT / "build" / "bin"))

# Zone: (region, entry VMs).
CARONI = {
    "name": "caroni",
    "zones": {"arima": ("northcaroni", 3), "chaguanas": ("northcaroni", 3),
              "couva": ("southcaroni", 2), "sando": ("southcaroni", 3)},
    "services": [
        {"name": "account-enquiry", "targets": 18, "lane": "enquiry",
         "ownership": "exclusive", "fence": "target",
         "repeatable_methods": ["GET", "HEAD"]},
        {"name": "work-orders", "targets": 10, "lane": "order",
         "ownership": "exclusive", "fence": "router",
         "repeatable_methods": ["GET", "HEAD"]},
        {"name": "plan-archive", "targets": 8, "lane": "bulk",
         "ownership": "shared", "fence": "target",
         "repeatable_methods": ["GET", "HEAD"]}],
    "slots": 4, "connections": 120}
UMURAGE = {
    "name": "umurage",
    "zones": {"gakenke": ("north", 3), "musanze": ("north", 3),
              "karongi": ("west", 2), "rutsiro": ("west", 2)},
    "services": [
        {"name": "lot-listings", "targets": 20, "lane": "enquiry",
         "ownership": "exclusive", "fence": "target",
         "repeatable_methods": ["GET", "HEAD"]},
        {"name": "bidding", "targets": 11, "lane": "order",
         "ownership": "exclusive", "fence": "target",
         "repeatable_methods": ["GET", "HEAD"]},
        {"name": "permit-archive", "targets": 8, "lane": "bulk",
         "ownership": "shared", "fence": "target",
         "repeatable_methods": ["GET", "HEAD"]}],
    "slots": 2, "connections": 130}
# One zone with few processes, for the tests.
SMALL = {
    "name": "small",
    "zones": {"arima": ("northcaroni", 3)},
    "services": [
        {"name": "account-enquiry", "targets": 3, "lane": "enquiry",
         "ownership": "exclusive", "fence": "target",
         "repeatable_methods": ["GET", "HEAD"]},
        {"name": "work-orders", "targets": 2, "lane": "order",
         "ownership": "exclusive", "fence": "router",
         "repeatable_methods": ["GET", "HEAD"]}],
    "slots": 4, "connections": 120}

PARTITIONS = 128


class PortPicker:
    """Picks free ports through the kernel, none of them twice."""

    def __init__(self):
        self._used = set()

    def pick(self):
        while True:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
            if port not in self._used:
                self._used.add(port)
                return port


def http(method, url, body=None, headers=None, timeout=5):
    """Returns (status, headers, body); status 0 if no response was received."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()
    except (OSError, ValueError):
        return 0, {}, b""


class Fleet:
    """The processes of one deployment."""

    def __init__(self, shape, work_us=1000, log_level="info", schema=2,
                 router_limits=None):
        self.shape = shape
        self.schema = schema
        self.router_limits = router_limits or {}
        self.log_level = log_level
        self.work_us = work_us
        self.ports = PortPicker()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="figstall-"))
        self.processes = {}
        self.vms = {}
        self.targets = {}
        self.platform_address = f"127.0.0.1:{self.ports.pick()}"
        self._assign_addresses()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            # __exit__ doesn't run if __enter__ raises, so stop the processes
            # that were started.
            self.stop()
            raise
        return self

    def __exit__(self, *unused):
        self.stop()

    def _assign_addresses(self):
        for zone, (region, count) in self.shape["zones"].items():
            for i in range(count):
                self.vms[f"{zone}-e{i + 1}"] = {
                    "zone": zone, "region": region,
                    **{role: f"127.0.0.1:{self.ports.pick()}"
                       for role in ("callers", "router", "steward", "status")}}
        zones = list(self.shape["zones"])
        for service in self.shape["services"]:
            for i in range(service["targets"]):
                zone = zones[i % len(zones)]
                name = f"{zone}-{service['name']}-{i + 1}"
                self.targets[name] = {
                    "zone": zone, "region": self.shape["zones"][zone][0],
                    "service": service["name"],
                    "checks": service["fence"] == "target",
                    "http": f"127.0.0.1:{self.ports.pick()}"}

    # -- Records and settings -------------------------------------------------

    def records(self):
        records = [self._service_record(s) for s in self.shape["services"]]
        for name, vm in self.vms.items():
            records.append(self._vm_record(name, vm, "entry"))
        for name, target in self.targets.items():
            records.append(self._vm_record(name, target, "target"))
        return {"records": records}

    def _service_record(self, service):
        weights = {}
        for target in self.targets.values():
            if target["service"] == service["name"]:
                zone = target["zone"]
                weights[zone] = weights.get(zone, 0) + 1
        if self.schema == 1:
            return {"kind": "service", "schema": 1, "name": service["name"],
                    "partitions": PARTITIONS,
                    "exclusive": service["ownership"] == "exclusive",
                    "checks_grants": service["fence"] == "target",
                    "lane": service["lane"], "repeatable": False,
                    "zones": sorted(weights)}
        return {"kind": "service", "schema": 2, "name": service["name"],
                "partitions": PARTITIONS, "ownership": service["ownership"],
                "fence": service["fence"], "lane": service["lane"],
                "repeatable_methods": service["repeatable_methods"],
                "home_weights": weights}

    def _vm_record(self, name, vm, role):
        record = {"kind": "vm", "schema": self.schema, "name": name,
                  "zone": vm["zone"], "region": vm["region"], "role": role,
                  "state": "joining"}
        if self.schema == 1:
            record["address"] = "127.0.0.1"
            fields = {"callers": "callers_port", "router": "router_port",
                      "steward": "steward_port", "http": "port"}
            for key, field in fields.items():
                if key in vm:
                    record[field] = int(vm[key].split(":")[1])
        else:
            record["endpoints"] = {k: vm[k] for k in
                                   ("callers", "router", "steward", "http")
                                   if k in vm}
        if role == "target":
            record["service"] = vm["service"]
            capacity = {"slots": self.shape["slots"],
                        "connections": self.shape["connections"]}
            if self.schema == 1:
                record.update(capacity)
            else:
                record["capacity"] = capacity
        return record

    def write_records(self, records=None):
        path = self.directory / "records.json"
        path.write_text(json.dumps(records or self.records(), indent=1))
        return path

    def apply(self, records=None):
        return self.ctl("apply", "--store", f"http://{self.platform_address}",
                        str(self.write_records(records)))

    def ctl(self, *arguments):
        return subprocess.run([str(BIN / "figstallctl"), *arguments],
                              capture_output=True, text=True, check=False)

    def _settings(self, name, role):
        vm = self.vms[name]
        settings = {"vm": name, "zone": vm["zone"], "region": vm["region"],
                    "log": {"level": self.log_level, "format": "json"}}
        if role == "router":
            settings["listen"] = {"callers": vm["callers"],
                                  "peers": vm["router"]}
            if self.router_limits:
                settings["limits"] = self.router_limits
        else:
            settings["listen"] = {"peers": vm["steward"],
                                  "status": vm["status"]}
            settings["store"] = f"http://{self.platform_address}"
            settings["vm_list"] = f"http://{self.platform_address}/v1/vms"
        path = self.directory / f"{name}.{role}.json"
        path.write_text(json.dumps(settings, indent=1))
        return path

    # -- Processes --------------------------------------------------------------

    def spawn(self, name, *arguments):
        log = open(self.directory / f"{name.replace('/', '-')}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(a) for a in arguments], stdout=log, stderr=log)
        log.close()

    def start_router(self, vm):
        self.spawn(f"router/{vm}", BIN / "figstall-router", "--settings",
                   self._settings(vm, "router"))

    def start_steward(self, vm):
        self.spawn(f"steward/{vm}", BIN / "figstall-steward", "--settings",
                   self._settings(vm, "steward"))

    def start_target(self, name):
        target = self.targets[name]
        extra = [] if target["checks"] else ["--unchecked"]
        self.spawn(f"target/{name}", BIN / "target-standin", "--name", name,
                   "--listen", target["http"], "--slots", self.shape["slots"],
                   "--work-us", self.work_us, "--journal",
                   self.directory / "journal.jsonl", *extra)

    def start(self):
        self.spawn("platform", BIN / "platform-standin", "--listen",
                   self.platform_address)
        self.wait_until(lambda: http(
            "GET", f"http://{self.platform_address}/v1/vms")[0]
                        == 200, "the platform stand-in responds")
        self.set_listed_vms()
        result = self.apply()
        if result.returncode != 0:
            raise RuntimeError(result.stderr)
        for name in self.targets:
            self.start_target(name)
        for name in self.vms:
            self.start_steward(name)
            self.start_router(name)
        self.wait_until(self.every_partition_owned,
                        "every partition has an owner")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def set_listed_vms(self, without=()):
        names = [vm for vm in self.vms if vm not in without]
        http("PUT", f"http://{self.platform_address}/standin/vms",
             json.dumps(names))

    def inject_store_fault(self, **fault):
        http("POST", f"http://{self.platform_address}/standin/fault",
             json.dumps(fault))

    def inject_target_fault(self, name, mode):
        http("POST", f"http://{self.targets[name]['http']}/standin/fault",
             json.dumps({"mode": mode}))

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    # -- Observation ------------------------------------------------------------

    def wait_until(self, condition, description, timeout_seconds=60):
        """Waits for a condition; the timeout only ends a run that is stuck."""
        deadline = time.monotonic() + timeout_seconds
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(f"timed out waiting until {description}")

    def router_status(self, vm):
        status, _, body = http(
            "GET", f"http://{self.vms[vm]['callers']}/figstall/status")
        return json.loads(body) if status == 200 else None

    def steward_status(self, vm):
        status, _, body = http(
            "GET", f"http://{self.vms[vm]['status']}/figstall/status")
        return json.loads(body) if status == 200 else None

    # Returns the VM whose steward has settled as the leader of the zone, or None.
    def leader(self, zone):
        for name, vm in self.vms.items():
            if vm["zone"] == zone and f"steward/{name}" in self.processes:
                status = self.steward_status(name)
                if status and status["settled"]:
                    return name
        return None

    def every_partition_owned(self):
        for name in self.vms:
            if f"router/{name}" not in self.processes:
                continue
            status = self.router_status(name)
            if not status or not status["ready"]:
                return False
            if any("" in owners for owners in status["owners"].values()):
                return False
        return True

    def owners(self, service):
        """Owner and term (epoch, count) of each partition, from the zone documents
        in the store."""
        owners = {}
        for zone in self.shape["zones"]:
            document = self.zone_document(zone)
            rows = document["rows"].get(service, {}) if document else {}
            for owner, entries in rows.items():
                for partition, epoch, count in entries:
                    owners[partition] = (owner, (epoch, count))
        return owners

    def zone_document(self, zone):
        import base64
        status, _, body = http(
            "GET", f"http://{self.platform_address}/v1/kv/figstall/zones/{zone}"
            "/document")
        if status != 200:
            return None
        return json.loads(base64.b64decode(json.loads(body)[0]["Value"]))

    def read_journal(self):
        """Every execution that a target recorded, including killed targets."""
        path = self.directory / "journal.jsonl"
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def routers(self, zone=None):
        return ",".join(vm["callers"] for vm in self.vms.values()
                        if zone in (None, vm["zone"]))

    def start_load(self, service, report, **options):
        """Starts figstall-load with `options` as flags; returns its process."""
        arguments = [str(BIN / "figstall-load"), "--routers",
                     options.pop("routers", self.routers()), "--service",
                     service, "--report", str(self.directory / report)]
        for name, value in options.items():
            arguments += [f"--{name.replace('_', '-')}", str(value)]
        return subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)

    def read_report(self, name):
        lines = (self.directory / name).read_text().splitlines()
        return [json.loads(line) for line in lines]

"""Small stand-ins for the platform's store, its backends and its clients, and a
helper that starts figstall-entry processes. They follow PROTOCOL.md; each case
changes only the behaviour that its claim names."""
import asyncio
import base64
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ENTRY = ROOT / "target" / "bin" / "figstall-entry"


def now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_used_ports = set()


def free_port(address="127.0.0.1"):
    """Returns a port below the range of outgoing connections."""
    start = 10_000 + os.getpid() * 97 % 15_000
    for port in itertools.chain(range(start, 32_000), range(10_000, start)):
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port
    raise RuntimeError("no free port")


async def read_head(reader):
    """Returns (first line, headers), or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read(-1) if until_close else b""


def message(first_line, headers, body=b""):
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def response(status, headers=(), body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}",
                   headers, body)


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.address = f"127.0.0.1:{free_port()}"
        self.revision = 100
        self.items = {}      # key -> (value, revision, created, lease)
        self.events = []     # (revision, key, deleted)
        self.leases = {}     # id -> [ttl, expiry]
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.on_call = None  # (method, path, body) -> None; for a case's use
        self.writers = set()
        self.servers = []
        self.rejected = set()

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.expiry = asyncio.create_task(self.expire())

    async def own_address(self, name):
        """Returns a further address of the store, for one machine alone; calls
        there get 503 while the machine's name is in `rejected`."""
        address = f"127.0.0.1:{free_port()}"
        host, port = address.split(":")
        self.servers.append(await asyncio.start_server(
            lambda reader, writer: self.serve(reader, writer, name), host,
            int(port)))
        return address

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            ended = [each for each, (_, at) in self.leases.items() if at < now()]
            for lease in ended:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            await self.change({}, keys)

    async def change(self, puts, removals):
        """puts: key -> (value, lease)."""
        self.revision += 1
        for key, (value, lease) in puts.items():
            created = self.items.get(key, (0, 0, self.revision))[2]
            self.items[key] = (value, self.revision, created, lease)
            self.events.append((self.revision, key, False))
        for key in removals:
            if self.items.pop(key, None):
                self.events.append((self.revision, key, True))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def put(self, key, value):
        await self.change({key: (json.dumps(value).encode(), 0)}, [])

    async def remove(self, key):
        await self.change({}, [key])

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": lease}

    async def serve(self, reader, writer, machine=None):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                status, answer = 503, {}
                if machine not in self.rejected:
                    status, answer = await self.call(method, target, body)
                # A 503 states that nothing was done, so only a read that was
                # waiting when the machine was turned away gets it here.
                if machine in self.rejected and method == "GET":
                    status, answer = 503, {}
                writer.write(response(
                    status, [("Content-Type", "application/json"),
                             ("Store-Era", "1")], json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = {key: value[0] for key, value in urllib.parse.parse_qs(
            query_text, keep_blank_values=True).items()}
        if self.on_call:
            self.on_call(method, target, body)
        if path == "/kv-key":
            if query["key"] not in self.items:
                return 404, {"currentRev": self.revision}
            return 200, dict(self.item(query["key"]), currentRev=self.revision)
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"])
                          and key > query.get("after", ""))
            return 200, {"items": [self.item(key) for key in keys],
                         "hasMore": False, "currentRev": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return await self.transaction(json.loads(body))
        if path == "/kv-lease":
            ttl = json.loads(body)["ttlS_time"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl, now() + ttl]
            return 200, {"lease": lease, "ttlS_time": ttl}
        name, _, number = path.rpartition("/")
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        if name == "/kv-keep":
            self.leases[lease][1] = now() + self.leases[lease][0]
        else:
            await self.end_lease(lease)
        return 200, {"lease": lease}

    async def watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        until = now() + int(query["waitMs"]) / 1000

        def events():
            newest = {}
            for revision, key, deleted in self.events:
                if revision > after and key.startswith(prefix):
                    newest[key] = (revision, deleted)
            found = []
            for key, (revision, deleted) in newest.items():
                if deleted or key not in self.items:
                    found.append({"key": key, "revision": revision,
                                  "deleted": True})
                else:
                    found.append(self.item(key))
            return sorted(found, key=lambda each: each["revision"])

        while not (found := events()) and now() < until:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
        return 200, {"events": found, "currentRev": self.revision}

    async def transaction(self, call):
        for row in call.get("expectedRev", []):
            known = self.items.get(row["key"])
            if (known[1] if known else 0) != row["revision"]:
                keys = [each["key"] for each in call["expectedRev"]]
                return 412, {"items": [self.item(key) for key in keys
                                       if key in self.items],
                             "currentRev": self.revision}
        puts = {}
        for each in call.get("puts", []):
            if each.get("lease") and each["lease"] not in self.leases:
                return 404, {}
            puts[each["key"]] = (base64.b64decode(each["value"]),
                                 each.get("lease", 0))
        return 200, {"revision": await self.change(puts,
                                                   call.get("remove", []))}


class Backend:
    """A backend of a service, sharded or not. Listens on its own address."""

    def __init__(self, store, name, service, zone, record, sharded=False,
                 slots=4, work_s=0.02, work=None):
        self.store, self.name, self.service, self.zone = (store, name, service,
                                                          zone)
        self.record, self.sharded = record, sharded
        self.address = f"127.0.0.1:{free_port()}"
        self.slots = asyncio.Semaphore(slots)
        self.slot_count, self.work_s = slots, work_s
        self.work = work            # request headers -> seconds of work
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.holds = []             # [first, last, fence, expiry]
        self.running = {}           # number of the run -> key
        self.run_numbers = itertools.count(1)
        self.ended = asyncio.Condition()
        self.runs = []
        self.extra_headers = []
        # For a case's use: called with the kind of the answer ("grant",
        # "release", "request") and the answer's bytes; returns what is sent.
        self.spoil = lambda kind, answer: answer
        self.writers = set()

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        await self.report()

    async def report(self):
        self.sequence += 1
        await self.store.put(f"servers/{self.name}", {
            "addr": self.address, "born": self.born,
            "info": {"service": self.service, "version": "1",
                     "zone": self.zone, "slots": self.slot_count},
            "status": {"state": self.state, "seq": self.sequence,
                       "warmupLeftS": 0}})

    async def drain(self):
        self.state = "draining"
        await self.report()

    async def crash(self):
        """The process ends: connections break, nothing is known any more."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.holds = []
        self.record("crashed", backend=self.name)

    async def restart(self):
        """Starts again under the same id, at the same address."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()
        self.record("restarted", backend=self.name)

    def held(self, key):
        return any(first <= key <= last and expiry > now()
                   for first, last, _, expiry in self.holds)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = None
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                kind, answer = await self.answer(method, target, head[1], body,
                                                 reader)
                if answer is None:
                    return
                writer.write(self.spoil(kind, answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def leaving(self):
        """What a backend that leaves says in all its answers."""
        return [("Server-Leaving", "1")] if self.state == "draining" else []

    async def answer(self, method, target, headers, body, reader):
        wanted = headers.get("target-instance")
        if wanted and wanted != self.name:
            return "request", response(421, [("Not-Executed", "1")])
        if target == "/grant":
            return "grant", self.grant(json.loads(body))
        if target == "/release":
            return "release", await self.release(json.loads(body))
        return "request", await self.run(headers, body, reader)

    def grant(self, call):
        first, last, fence = call["from"], call["target"], call["fence"]
        for each in self.holds:
            if each[0] <= last and first <= each[1] and each[2] > fence:
                return response(409, self.leaving())
        renewed = any(each[:3] == [first, last, fence] and each[3] > now()
                      for each in self.holds)
        self.cut(first, last)
        self.holds.append([first, last, fence, now() + call["holdS"]])
        self.record("renewed" if renewed else "granted", backend=self.name,
                    first=first, last=last, fence=fence,
                    until=round(now() + call["holdS"], 4))
        return response(200, [("Content-Type", "application/json"),
                              *self.leaving()])

    def cut(self, first, last):
        kept = []
        for f, l, fence, expiry in self.holds:
            if l < first or last < f:
                kept.append([f, l, fence, expiry])
                continue
            if f < first:
                kept.append([f, first - 1, fence, expiry])
            if l > last:
                kept.append([last + 1, l, fence, expiry])
        self.holds = kept

    async def release(self, call):
        first, last, fence = call["from"], call["target"], call["fence"]
        self.cut(first, last)
        self.holds.append([first, last, fence, 0])
        self.record("release-arrived", backend=self.name, first=first,
                    last=last, fence=fence,
                    running=[rid for rid, key in self.running.items()
                             if first <= key <= last])
        async with self.ended:
            await self.ended.wait_for(
                lambda: not any(first <= key <= last
                                for key in self.running.values()))
        self.record("released", backend=self.name, first=first, last=last,
                    fence=fence)
        return response(200, [("Handover", f"h{fence}-{first}"),
                              *self.leaving()])

    async def work_until(self, reader, seconds):
        """Works; returns False if the connection closes before the end."""
        until = now() + seconds
        while now() < until:
            await asyncio.sleep(min(0.01, until - now()))
            if reader.at_eof() or reader.exception():
                return False
        return True

    async def run(self, headers, body, reader):
        rid = headers.get("request-id", "")
        key = int(headers["shard-key"]) if self.sharded else -1
        own = [("Request-Id", rid), *self.leaving()]
        if self.sharded and not self.held(key):
            return response(421, own + [("Not-Executed", "1")])
        number = next(self.run_numbers)
        self.running[number] = key
        self.runs.append(rid)
        self.on_run(number, key)
        self.record("run", backend=self.name, id=rid, key=key)
        try:
            async with self.slots:
                done = await self.work_until(
                    reader, self.work(headers) if self.work else self.work_s)
        finally:
            del self.running[number]
            self.on_ran(number)
            async with self.ended:
                self.ended.notify_all()
        self.record("ran", backend=self.name, id=rid, key=key, done=done)
        if not done:
            return None
        return response(200, own + self.extra_headers +
                        [("Backend-Signature", f"sig-{rid}"),
                         ("Keep-Alive", "timeout=10")],
                        f"body of {rid}".encode())

    def on_run(self, number, key):
        """A run begins; for a case's checks."""

    def on_ran(self, number):
        """A run has ended."""


class HeldBackend(Backend):
    """A backend of a sharded service; checks the rule OWNER: no backend is
    given a key on which another one is still at work before that one's hold
    would have run out, and no two hold one key for over half a second."""

    all = []
    violations = []

    def __init__(self, *args, **kwargs):
        super().__init__(*args, sharded=True, **kwargs)
        self.busy = {}      # number of the run -> (key, end of the hold)
        self.all.append(self)

    up = True

    @classmethod
    async def watch_holds(cls, record, longest_s=0.5):
        """Looks for two backends that are up and hold the same keys for over
        half a second. Runs until it is cancelled."""
        since, reported = {}, set()
        while True:
            for index, one in enumerate(cls.all):
                for other in cls.all[index + 1:]:
                    pair = (one.name, other.name)
                    shared = [(max(a[0], b[0]), min(a[1], b[1]))
                              for a in one.holds if a[3] > now()
                              for b in other.holds if b[3] > now()
                              if max(a[0], b[0]) <= min(a[1], b[1])]
                    if not shared or not (one.up and other.up):
                        since.pop(pair, None)
                        continue
                    began, first = since.setdefault(pair, (now(), shared))
                    if now() - began > longest_s and pair not in reported:
                        reported.add(pair)
                        cls.violations.append(pair)
                        record("VIOLATION", rule="OWNER", two_hold=pair,
                               keys=first, for_s=round(now() - began, 2))
            await asyncio.sleep(0.02)

    def on_run(self, number, key):
        hold = next(each for each in self.holds if each[0] <= key <= each[1])
        self.busy[number] = [key, hold[3]]

    def on_ran(self, number):
        self.busy.pop(number, None)

    def grant(self, call):
        answer = super().grant(call)
        first, last = call["from"], call["target"]
        if b" 200 " not in answer[:16]:
            return answer
        for run in self.busy.values():
            if first <= run[0] <= last:
                run[1] = now() + call["holdS"]
        for other in self.all:
            if other is self:
                continue
            for key, until in other.busy.values():
                if first <= key <= last and now() < until:
                    self.violations.append((key, other.name, self.name))
                    self.record("VIOLATION", rule="OWNER", key=key,
                                at_work=other.name, granted_to=self.name,
                                fence=call["fence"],
                                hold_left_s=round(until - now(), 3))
        return answer


class Entry:
    """A figstall-entry process, started as the deploy file says."""

    def __init__(self, directory, store, name, zone, regions, bounds=None):
        self.name, self.zone = name, zone
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.peers = f"127.0.0.1:{free_port()}"
        self.settings = directory / f"{name}.json"
        self.log = directory / f"{name}.log"
        bounds = bounds or {}
        self.settings.write_text(json.dumps({
            "vm": name, "zone": zone, "region": regions[zone],
            "listen": {"callers": self.front, "ready": self.ready,
                       "metrics": f"127.0.0.1:{free_port()}",
                       "peers": self.peers},
            "store": store, "regions": regions,
            "log": {"level": "info", "format": "json"},
            "grants": {"longest_hold_s": 10},
            "retries": {"ratio": 0.2, "window_s": 10, "slack": 60},
            "vm_size": {"cores": 0.2, "link_mbps": 1000},
            "drain_s": bounds.get("drain_s", 2),
            "stop_grace_s": bounds.get("stop_grace_s", 6)}))
        self.process = None

    def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [str(ENTRY), "--settings", str(self.settings)], stdout=log,
                stderr=subprocess.STDOUT, cwd=ROOT)

    def send(self, signal_number):
        self.process.send_signal(signal_number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def wait_ready(self, timeout_s=10):
        until = now() + timeout_s
        while now() < until:
            try:
                host, port = self.ready.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n"
                             b"Connection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200 " in head[0] + " ":
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


async def request(address, rid, path="/a/", host="a.example", method="GET",
                  headers=(), body=b"", deadline_ms=2000):
    """One client attempt on a new connection. Returns (status, headers, body);
    status 0 if the connection ended without a complete answer."""
    host_name, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host_name, int(port)), 1)
    except (OSError, asyncio.TimeoutError):
        return 0, {}, b""
    try:
        writer.write(message(
            f"{method} {path} HTTP/1.1",
            [("Host", host), ("Request-Id", rid),
             ("Deadline-Ms", deadline_ms), *headers], body))
        async with asyncio.timeout(deadline_ms / 1000):
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            answer = await read_body(reader, head[1], until_close=True)
        return int(head[0].split(" ")[1]), head[1], answer
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        writer.close()


class Record:
    """record.txt: one line of JSON for each thing sent, answered and run."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began = now()
        self.rows = []

    def __call__(self, what, **fields):
        row = dict(t=round(now() - self.began, 4), what=what, **fields)
        self.rows.append(row)
        print(json.dumps(row), file=self.file, flush=True)


TIME_LIMIT_S = 110


def run_case(main, folder):
    """Runs main(record, directory, trouble), which returns the exit status, and
    which ends its processes also when it is cancelled. TROUBLE=0 leaves the
    disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder))
    if not ENTRY.exists():
        record("cannot-run", why="figstall-entry is not built")
        sys.exit(2)

    async def limited(directory):
        task = asyncio.create_task(main(record, directory, trouble))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, TIME_LIMIT_S)

    with tempfile.TemporaryDirectory() as directory:
        try:
            status = asyncio.run(limited(pathlib.Path(directory)))
        except (Exception, asyncio.CancelledError) as error:
            record("cannot-run", why=repr(error))
            status = 2
    record("exit", status=status)
    sys.exit(status)

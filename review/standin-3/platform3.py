"""Stand-ins for the platform's store and for targets, on loopback, and a starter
of figstall-entry by the command of the deploy file. They do what PROTOCOL.md
says; nothing else. One asyncio loop serves all of them."""
import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def free_ports(count):
    """Ports below the range of outgoing connections, each free for TCP and UDP."""
    found, port = [], 20_000 + (os.getpid() * 97) % 9_000
    while len(found) < count:
        port += 1
        try:
            with socket.socket() as tcp, socket.socket(
                    socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        found.append(port)
    return found


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_http(reader):
    """Returns method, target, fields and body of a request; None at the end."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    method, target, _ = line.decode().split(" ", 2)
    fields = {}
    while (field := await reader.readline()) not in (b"\r\n", b""):
        name, value = field.decode().split(":", 1)
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return method, target, fields, body


def http_answer(status, body=b"", fields=()):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store. `first_era`: its Store-Era before any restore."""

    def __init__(self, first_era=1):
        self.era = first_era
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.next_lease = 1
        self.history = []
        self.oldest = 1
        self.copies = []
        self.down = False
        # Names of those that are turned away with 503.
        self.turned_away = set()
        # Watches hear nothing.
        self.silent = False
        self.changed = asyncio.Event()
        self.connections = set()

    async def listen(self, port, name):
        """Serves one machine at an address of its own."""
        return await asyncio.start_server(
            lambda reader, writer: self.serve(reader, writer, name),
            "127.0.0.1", port)

    async def start(self, port):
        self.server = await self.listen(port, "")
        self.ticker = asyncio.create_task(self.tick())

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                continue
            now = time.monotonic()
            for lease in [each for each, (until, _) in self.leases.items()
                          if until <= now]:
                self.end_lease(lease)
            self.copies.append((now, dict(self.items), dict(self.leases),
                                self.revision, self.next_lease))
            while len(self.copies) > 1 and self.copies[0][0] < now - 20:
                self.copies.pop(0)

    def restore(self, age):
        """Comes back from a copy: what was written since is gone."""
        wanted = time.monotonic() - age
        copy = [each for each in self.copies if each[0] <= wanted] or self.copies
        _, items, leases, self.revision, self.next_lease = copy[-1]
        self.items, self.leases = dict(items), dict(leases)
        self.copies = [each for each in self.copies if each[0] <= wanted]
        self.era += 1
        self.history, self.oldest = [], self.revision
        self.wake()

    def wake(self):
        if self.silent:
            return
        self.changed.set()
        self.changed = asyncio.Event()

    def change(self, key, value=None, lease=0):
        if value is None:
            if key not in self.items:
                return
            del self.items[key]
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            created = self.items.get(key, {"created": self.revision})["created"]
            event = {"key": key, "value": base64.b64encode(value).decode(),
                     "revision": self.revision, "created": created,
                     "lease": lease}
            self.items[key] = event
        self.history.append(event)

    def put(self, key, value):
        self.revision += 1
        self.change(key, json.dumps(value).encode())
        self.wake()

    def remove(self, key):
        self.revision += 1
        self.change(key)
        self.wake()

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.change(key)
            self.wake()

    def transact(self, body):
        for put in body["puts"]:
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        rows = body["expectedRev"]
        current = [self.items[row["key"]] for row in rows
                   if row["key"] in self.items]
        if any(self.items.get(row["key"], {"revision": 0})["revision"]
               != row["revision"] for row in rows):
            return 412, {"items": current, "currentRev": self.revision}
        self.revision += 1
        for put in body["puts"]:
            self.change(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self.change(key)
        self.wake()
        return 200, {"revision": self.revision}

    def drop_history(self):
        """Watches that heard nothing until now get 410 if they missed a change."""
        self.history, self.oldest, self.silent = [], self.revision, False
        self.wake()

    async def watch(self, query):
        until = time.monotonic() + int(query["waitMs"]) / 1000
        after, era = int(query["after"]), self.era
        while True:
            if self.silent:
                await self.changed.wait()
                continue
            if era != self.era or after < self.oldest or after > self.revision:
                return 410, {}
            events = [each for each in self.history if each["revision"] > after
                      and each["key"].startswith(query.get("prefix", ""))]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        name, _, number = url.path[1:].partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, currentRev=self.revision)) if item else (404, {})
        if name == "kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query.get("prefix", ""))
                          and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "hasMore": len(keys) > 500, "currentRev": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.transact(json.loads(body))
        if name == "kv-lease":
            ttl = json.loads(body)["ttlS_time"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": lease, "ttlS_time": ttl}
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        if name == "kv-keep":
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": lease, "ttlS_time": ttl}
        self.end_lease(lease)
        return 200, {}

    async def serve(self, reader, writer, name):
        self.connections.add(writer)
        try:
            while (request := await read_http(reader)) and not self.down:
                method, target, _, body = request
                if name in self.turned_away:
                    status, value = 503, {}
                else:
                    status, value = await self.handle(method, target, body)
                if self.down:
                    break
                text = json.dumps(value).encode() if value else b"{}"
                writer.write(http_answer(status, text,
                                         [("Content-Type", "application/json"),
                                          ("Store-Era", self.era)]))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    def cut_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()


class Target:
    """A backend. A keyed one runs a request only while it holds its key."""

    def __init__(self, store, record, name, service, port, zone, keyed=False,
                 work_s=0.02, answer_bytes=400, slots=4):
        self.store, self.record, self.name = store, record, name
        self.service, self.port, self.zone = service, port, zone
        self.keyed, self.work_s, self.answer_bytes = keyed, work_s, answer_bytes
        self.slots = slots
        # Bodies of other sizes, by path.
        self.sizes = {}
        self.state, self.born, self.seq = "ready", int(time.time() * 1000), 0
        self.holds = {}
        self.seen = {}
        # What was taken anew, and each span of time in which keys were held.
        self.takes, self.spans = [], []
        self.handovers = 0
        self.up = True
        # Resets new connections, as while the queue is long.
        self.full = False
        self.runs = []
        self.conns = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.beats = asyncio.create_task(self.beat())

    def write_entry(self):
        self.seq += 1
        self.store.put(f"servers/{self.name}", {
            "addr": f"127.0.0.1:{self.port}",
            "info": {"service": self.service, "zone": self.zone,
                     "version": "1", "slots": self.slots},
            "status": {"state": self.state, "seq": self.seq,
                       "warmupLeftS": 0}, "born": self.born})

    async def beat(self):
        while self.up:
            if not self.store.down:
                self.write_entry()
            await asyncio.sleep(0.87)

    def held(self, key):
        """The fence under which the key is held now, or None."""
        now = time.monotonic()
        return max((fence for (first, last, fence), until in self.holds.items()
                    if first <= key <= last and now < until), default=None)

    def order(self, path, body):
        first, last, fence = body["from"], body["target"], body["fence"]
        now = time.monotonic()
        if path == "/grant":
            for (low, high), seen in self.seen.items():
                if low <= last and first <= high and seen > fence:
                    return 409, []
            self.seen[(first, last)] = fence
            new = now >= self.holds.get((first, last, fence), 0)
            self.holds[(first, last, fence)] = now + body["holdS"]
            if new:
                self.record.write(f"{self.name} holds {first}-{last} fence {fence}"
                                  f" for {body['holdS']} s")
                self.takes.append((self.record.now(), first, last, fence))
            self.spans.append([first, last, now, now + body["holdS"]])
            return 200, []
        self.seen[(first, last)] = max(fence, self.seen.get((first, last), 0))
        for low, high, held in list(self.holds):
            if low > last or high < first:
                continue
            until = self.holds.pop((low, high, held))
            if low < first:
                self.holds[(low, first - 1, held)] = until
            if high > last:
                self.holds[(last + 1, high, held)] = until
        for span in self.spans:
            if span[0] <= last and first <= span[1]:
                if span[0] < first:
                    self.spans.append([span[0], first - 1, *span[2:]])
                if span[1] > last:
                    self.spans.append([last + 1, span[1], *span[2:]])
                span[0], span[1] = max(span[0], first), min(span[1], last)
                span[3] = min(span[3], now)
        self.handovers += 1
        self.record.write(f"{self.name} released {first}-{last} fence {fence}")
        return 200, [("Handover", f"{self.name}-{self.handovers}")]

    async def serve(self, reader, writer):
        if self.full:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return writer.transport.abort()
        self.conns.add(writer)
        try:
            while request := await read_http(reader):
                method, target, fields, body = request
                echo = [("Request-Id", fields.get("request-id", "")),
                        ("Keep-Alive", "timeout=10")]
                if fields.get("target-instance", self.name) != self.name:
                    answer = http_answer(421, b"", echo + [("Not-Executed", "1")])
                elif target in ("/grant", "/release"):
                    status, more = self.order(target, json.loads(body))
                    answer = http_answer(status, b"", echo + more)
                else:
                    answer = await self.run(fields, target, echo)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.conns.discard(writer)
            writer.transport.abort()

    async def run(self, fields, target, echo):
        if self.keyed and self.held(int(fields["shard-key"])) is None:
            return http_answer(421, b"", echo + [("Not-Executed", "1")])
        self.record.write(f"{self.name} runs {fields['request-id']}")
        self.runs.append((time.monotonic(), fields["request-id"],
                          fields.get("shard-key")))
        await asyncio.sleep(self.work_s)
        size = self.sizes.get(target, self.answer_bytes)
        return http_answer(200, b"x" * size,
                           echo + [("Backend-Signature", self.name)])


def owner_faults(targets, end):
    """What breaks OWNER: keys that two targets hold for over half a second, and
    keys taken with a fence that another target had for them before."""
    faults = []
    for i, one in enumerate(targets):
        for other in targets[i + 1:]:
            both = []
            for first, last, begin, until in one.spans:
                for low, high, start, stop in other.spans:
                    key = max(first, low)
                    span = (max(begin, start), min(until, stop, end))
                    if key <= min(last, high) and span[0] < span[1]:
                        both.append((span, key, min(last, high)))
            for key in sorted({key for _, key, _ in both}):
                spans = sorted(span for span, low, high in both
                               if low <= key <= high)
                total, reached = 0.0, 0.0
                for begin, until in spans:
                    total += max(0.0, until - max(begin, reached))
                    reached = max(reached, until)
                if total > 0.5:
                    faults.append(f"{one.name} and {other.name} both hold key "
                                  f"{key} for {total:.2f} s")
    takes = sorted((at, first, last, fence, target.name) for target in targets
                   for at, first, last, fence in target.takes)
    for i, (at, first, last, fence, name) in enumerate(takes):
        for _, low, high, earlier, holder in takes[:i]:
            if holder != name and low <= last and first <= high \
                    and earlier >= fence:
                faults.append(f"{name} takes {first}-{last} at {at:.3f} with "
                              f"fence {fence}; {holder} had {low}-{high} with "
                              f"fence {earlier}")
    return faults


async def ask(record, entry, path, number, deadline_ms, key=None, method="GET",
              body=b""):
    """Sends one request on a new connection. Returns its status, or 0."""
    head = (f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"Request-Id: {number}\r\nDeadline-Ms: {deadline_ms}\r\n")
    if key is not None:
        head += f"Shard-Key: {key}\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    status = 0
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.callers)
        writer.write(head.encode() + b"\r\n" + body)
        line = await asyncio.wait_for(reader.readline(), deadline_ms / 1000)
        status = int(line.split()[1]) if line else 0
        writer.close()
    except (OSError, asyncio.TimeoutError):
        pass
    record.write(f"caller {number} at {entry.name} key {key}: {status}")
    return status


class Entry:
    """A figstall-entry process, started by the command of the deploy file."""

    def __init__(self, directory, name, zone, regions, store_port, **more):
        callers, ready, metrics, peers = free_ports_once(4)
        self.name, self.callers, self.ready = name, callers, ready
        self.directory, self.process = directory, None
        self.settings = {
            "vm": name, "zone": zone, "region": regions[zone],
            "listen": {"callers": f"127.0.0.1:{callers}",
                       "ready": f"127.0.0.1:{ready}",
                       "metrics": f"127.0.0.1:{metrics}",
                       "peers": f"127.0.0.1:{peers}"},
            "store": f"127.0.0.1:{store_port}", "regions": regions,
            "vm_size": {"cores": 0.2, "link_mbps": 1000, "memory_mb": 260},
            "grants": {"longest_hold_s": 10}, "drain_s": 2, "stop_grace_s": 6,
            "retries": {"ratio": 0.2, "window_s": 10, "slack": 60}, **more}

    def start(self, first_start=True):
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(dict(self.settings, first_start=first_start)))
        self.log_path = self.directory / f"{self.name}.log"
        self.process = subprocess.Popen(
            ["target/bin/figstall-entry", "--settings", str(path)], cwd=ROOT,
            stdout=open(self.log_path, "a"), stderr=subprocess.STDOUT)

    def signal(self, number):
        self.process.send_signal(number)

    def log(self, event):
        return [line for line in self.log_path.read_text().splitlines()
                if f'"event":"{event}"' in line]

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


_ports = []


def free_ports_once(count):
    """Free ports, each given out once in this process."""
    if not _ports:
        _ports.extend(free_ports(60))
    return [_ports.pop(0) for _ in range(count)]


async def wait_ready(entry, timeout=15):
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1",
                                                           entry.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b" 200 " in line:
                return True
        except OSError:
            pass
        await asyncio.sleep(0.1)
    return False


def temporary_folder():
    return pathlib.Path(tempfile.mkdtemp(prefix="figstall-review-"))


def desired_state(version, routes, services, limits=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": limits or {"maxHeaderBytes": 16384,
                                 "maxBodyBytes": 1048576,
                                 "headerTimeoutS": 10, "idleTimeoutS": 10}}

"""Stand-ins for the platform's store, the backends and the clients, and the
start of entries, by PROTOCOL.md and DEPLOY.md. Standard library only."""
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse


ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# Below the range from which the kernel takes the ports of outgoing connections.
PORTS = (10_000, 32_000)
_taken = set()

# Longest run of a case.
LIMIT_S = 112
_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGALRM)


def _end(number, _frame):
    # A second signal must not interrupt the end of the entries.
    for each in _SIGNALS:
        signal.signal(each, signal.SIG_IGN)
    print("ended by", signal.Signals(number).name, flush=True)
    raise SystemExit(2)


def run(main):
    """Runs a case and exits with its status, whatever its threads do. Any
    other end than that of `main` counts as a case that couldn't run."""
    for number in _SIGNALS:
        signal.signal(number, _end)
    signal.alarm(LIMIT_S)
    status = 2
    try:
        status = main()
    except SystemExit:
        pass
    except Exception as error:  # pylint: disable=broad-except
        print("could not run:", error)
    sys.stdout.flush()
    os._exit(status)


def free_port():
    while True:
        port = random.randrange(*PORTS)
        if port in _taken:
            continue
        with socket.socket() as probe, socket.socket(
                socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            try:
                probe.bind((HOST, port))
                datagrams.bind((HOST, port))
            except OSError:
                continue
        _taken.add(port)
        return port


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, directory):
        self._file = open(pathlib.Path(directory) / "record.txt", "w",
                          encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


class Message:
    """A parsed HTTP message."""

    def __init__(self, start, fields, body):
        self.start, self.fields, self.body = start, fields, body

    def __getitem__(self, name):
        return self.fields.get(name.lower(), "")


def read_head(stream):
    line = stream.readline()
    if not line.endswith(b"\n"):
        return None
    fields = {}
    while (field := stream.readline()) not in (b"\r\n", b"\n"):
        if not field:
            return None
        name, value = field.decode("latin-1").split(":", 1)
        fields[name.strip().lower()] = value.strip()
    return Message(line.decode("latin-1").strip(), fields, b"")


def read_body(stream, message):
    """Returns whether the body came whole."""
    if message["transfer-encoding"].lower() == "chunked":
        while True:
            line = stream.readline()
            if not line:
                return False
            size = int(line.split(b";")[0], 16)
            if size == 0:
                while stream.readline() not in (b"\r\n", b""):
                    pass
                return True
            message.body += stream.read(size)
            stream.readline()
    length = int(message["content-length"] or 0)
    message.body = stream.read(length)
    return len(message.body) == length


def read_message(stream):
    message = read_head(stream)
    if message is None or not read_body(stream, message):
        return None
    return message


def encode(status, fields=(), body=b"", length=True):
    reasons = {200: "OK", 503: "Service Unavailable", 421: "Misdirected Request",
               409: "Conflict", 404: "Not Found", 412: "Precondition Failed",
               410: "Gone", 500: "Internal Server Error"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections, with a thread each."""

    def __init__(self, port, backlog=512):
        self.port = port
        self._listener = socket.create_server((HOST, port), backlog=backlog)
        self._open = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._open.add(connection)
            threading.Thread(target=self._guard, args=(connection,),
                             daemon=True).start()

    def _guard(self, connection):
        try:
            with connection:
                self.serve(connection)
        except (OSError, ValueError):
            pass
        finally:
            self._open.discard(connection)

    def close(self):
        # Wakes the thread that accepts.
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()
        for connection in list(self._open):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      b"\1\0\0\0\0\0\0\0")
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store:
    """The platform's store. Each entry has an address of its own, so that
    single machines can be cut off."""

    def __init__(self, record):
        self.record = record
        self._lock = threading.Condition()
        self._items = {}
        self._leases = {}
        self._history = collections.deque(maxlen=50_000)
        self._revision = 1
        self._next_lease = 100
        self.compacted = 0
        self.era = 1
        # Ports whose calls get no answer, as behind a partition.
        self.cut = set()
        self.refused = set()
        self._copies = collections.deque(maxlen=200)
        self.away = False
        threading.Thread(target=self._expire, daemon=True).start()

    def listen(self):
        return StoreServer(free_port(), self)

    def _set(self, key, value, lease):
        old = self._items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "created": old["created"] if old else self._revision,
                "lease": lease}
        self._items[key] = item
        self._history.append((self._revision, item))

    def _delete(self, key):
        if self._items.pop(key, None):
            self._history.append((self._revision,
                                  {"key": key, "revision": self._revision,
                                   "deleted": True}))

    def put(self, key, value):
        """A write of the operator or of a backend."""
        if isinstance(value, dict):
            value = json.dumps(value, separators=(",", ":")).encode()
        with self._lock:
            if self.away:
                return
            self._revision += 1
            self._set(key, value, 0)
            self._lock.notify_all()

    def remove(self, key):
        with self._lock:
            self._revision += 1
            self._delete(key)
            self._lock.notify_all()

    @contextlib.contextmanager
    def paused(self):
        """What is written inside becomes visible at once."""
        with self._lock:
            yield

    def get(self, key):
        with self._lock:
            item = self._items.get(key)
            return base64.b64decode(item["value"]) if item else None

    def keys(self):
        with self._lock:
            return sorted(self._items)

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self._items.items()
                if item["lease"] == lease]
        if keys:
            self._revision += 1
            for key in keys:
                self._delete(key)
        self._lock.notify_all()
        return True

    def _expire(self):
        while True:
            time.sleep(0.05)
            with self._lock:
                now = time.monotonic()
                if not self._copies or now - self._copies[-1][0] >= 0.25:
                    self._copies.append((now, dict(self._items),
                                         self._revision))
                if self.away:
                    continue
                for lease, (until, _) in list(self._leases.items()):
                    if until <= now:
                        self._end_lease(lease)

    def restore(self, age_s, away_s):
        """Is away, and comes back from a copy that is `age_s` old. Leases are
        gone, and what was written under them; revisions go back."""
        with self._lock:
            at = time.monotonic() - age_s
            _, items, revision = next(
                copy for copy in reversed(self._copies) if copy[0] <= at)
            self.away = True
            self._lock.notify_all()
        self.record("the store goes away")
        time.sleep(away_s)
        with self._lock:
            self._items = {key: item for key, item in items.items()
                           if item["lease"] == 0}
            self._revision = revision
            self._leases.clear()
            self._history.clear()
            self._copies.clear()
            self.compacted = revision
            self.era += 1
            self.away = False
            self._lock.notify_all()
        self.record(f"the store is back from a copy {age_s} s old, "
                    f"Store-Era {self.era}, revision {revision}")

    def handle(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, True))
        if method == "GET" and path == "/kv-watch":
            return self._watch(query)
        with self._lock:
            if method == "GET" and path == "/kv-key":
                item = self._items.get(query["key"])
                if not item:
                    return 404, {"currentRev": self._revision}
                return 200, dict(item, currentRev=self._revision)
            if method == "GET" and path == "/kv-range":
                return 200, self._range(query)
            if method == "POST" and path == "/kv-txn":
                return self._transact(json.loads(body))
            if method == "POST" and path == "/kv-lease":
                time_to_live = json.loads(body)["ttlS_time"]
                self._next_lease += 1
                self._leases[self._next_lease] = (
                    time.monotonic() + time_to_live, time_to_live)
                return 200, {"lease": self._next_lease,
                             "ttlS_time": time_to_live}
            lease = int(path.rsplit("/", 1)[1])
            if method == "POST" and path.startswith("/kv-keep/"):
                if lease not in self._leases:
                    return 404, {}
                time_to_live = self._leases[lease][1]
                self._leases[lease] = (time.monotonic() + time_to_live,
                                       time_to_live)
                return 200, {"ttlS_time": time_to_live}
            if method == "DELETE" and path.startswith("/kv-lease-end/"):
                return (200, {}) if self._end_lease(lease) else (404, {})
        return 404, {}

    def _range(self, query):
        items, size, more = [], 0, False
        for key in sorted(self._items):
            if not key.startswith(query["prefix"]) or \
                    key <= query.get("after", ""):
                continue
            if items and (len(items) == 500 or size > 1_000_000):
                more = True
                break
            items.append(self._items[key])
            size += len(self._items[key]["value"])
        return {"items": items, "hasMore": more, "currentRev": self._revision}

    def _watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1e3
        with self._lock:
            while True:
                if self.away:
                    return None, {}
                if after < self.compacted or after > self._revision:
                    return 410, {}
                events = [item for revision, item in self._history
                          if revision > after and
                          item["key"].startswith(query["prefix"])]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self._revision}
                self._lock.wait(left)

    def _transact(self, body):
        current, holds = [], True
        for row in body["expectedRev"]:
            item = self._items.get(row["key"])
            holds = holds and (item["revision"] if item else 0) == \
                row["revision"]
            if item:
                current.append(item)
        for row in body["puts"]:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self._leases:
                return 404, {}
        if not holds:
            return 412, {"items": current}
        self._revision += 1
        for row in body["puts"]:
            self._set(row["key"], base64.b64decode(row["value"]),
                      row.get("lease", 0))
        for key in body["remove"]:
            self._delete(key)
        self._lock.notify_all()
        return 200, {"revision": self._revision}


class StoreServer(Server):
    def __init__(self, port, store):
        self.store = store
        super().__init__(port)

    @staticmethod
    def _hang():
        time.sleep(10)

    def serve(self, connection):
        stream = connection.makefile("rb")
        while request := read_message(stream):
            if self.port in self.store.refused:
                return
            if self.port in self.store.cut or self.store.away:
                self._hang()
                return
            method, target, _ = request.start.split(" ")
            status, body = self.store.handle(method, target, request.body)
            if self.port in self.store.cut or status is None:
                self._hang()
                return
            data = json.dumps(body, separators=(",", ":")).encode()
            connection.sendall(encode(
                status, [("Content-Type", "application/json"),
                         ("Store-Era", self.store.era)], data))


class Backend(Server):
    """A backend of a service. `answer(backend, request, connection)` may write
    the response itself and return None, or return the bytes to write."""

    def __init__(self, world, service, zone, sharded=False, slots=4,
                 work_s=0.02, backend_id=None, start=True):
        self.world, self.service, self.zone = world, service, zone
        self.sharded, self.slots, self.work_s = sharded, slots, work_s
        self.id = backend_id or f"i-{random.randrange(1 << 32):08x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.silent = False
        self.lives = 0
        # When it answered, by the record's clock.
        self.answered_at = []
        # key -> (until, fence); fences survive the holds.
        self.fences = {}
        self.holds = {}
        self.lock = threading.RLock()
        self.running = collections.Counter()
        self.slot = threading.Semaphore(slots)
        self.on_request = None
        self.on_release = None
        self.up = True
        super().__init__(free_port())
        if start:
            self.publish()
            threading.Thread(target=self._beat, daemon=True).start()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def publish(self):
        self.seq += 1
        self.world.store.put(f"servers/{self.id}", {
            "addr": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "seq": self.seq,
                       "warmupLeftS": 0}})

    def _beat(self):
        while self.up and self.lives == 0:
            time.sleep(0.87)
            if self.up and self.lives == 0 and not self.silent:
                self.publish()

    def crash(self):
        """Ends without a word. Its entry stays for now."""
        self.up = False
        self.close()
        self.world.record(f"backend {self.id} of {self.service} crashes")

    def start_again(self, beat_after_s=0.87):
        """A new life under the same id and address, which knows nothing of
        before. Its first heartbeat follows in its time."""
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.fences, self.holds = {}, {}
        self.running = collections.Counter()
        self.slot = threading.Semaphore(self.slots)
        self.up = True
        Server.__init__(self, self.port)
        self.world.record(f"backend {self.id} of {self.service} starts again")

        def beat(life):
            time.sleep(beat_after_s)
            while self.up and self.lives == life:
                self.publish()
                time.sleep(0.87)
        threading.Thread(target=beat, args=(self.lives,), daemon=True).start()

    def drain(self, serve_s):
        """A planned shutdown."""
        self.state = "draining"
        self.publish()
        self.world.record(f"backend {self.id} of {self.service} drains")

        def end():
            time.sleep(serve_s)
            self.end()
        threading.Thread(target=end, daemon=True).start()

    def end(self):
        self.up = False
        self.close()
        self.world.store.remove(f"servers/{self.id}")
        self.world.record(f"backend {self.id} of {self.service} has ended")

    def serve(self, connection):
        stream = connection.makefile("rb")
        while request := read_message(stream):
            out = self.respond(request, connection)
            if out is None:
                return
            if out:
                self.answered_at.append(self.world.record.now())
                connection.sendall(out)

    def respond(self, request, connection):
        path = request.start.split(" ")[1]
        request_id = request["request-id"]
        if request["target-instance"] not in ("", self.id):
            return encode(421, [("Not-Executed", 1), ("Backend-Id", self.id),
                                ("Request-Id", request_id)])
        if path == "/grant":
            return self._grant(json.loads(request.body))
        if path == "/release":
            return self._release(json.loads(request.body))
        if self.on_request:
            out = self.on_request(self, request, connection)
            if out is not False:
                return out
        key = request["shard-key"]
        if self.sharded and not self.holds_key(int(key)):
            return encode(421, [("Not-Executed", 1), ("Request-Id", request_id)])
        return self.run(request)

    def run(self, request, status=200, extra=(), body=None):
        request_id, key = request["request-id"], request["shard-key"]
        with self.slot:
            self.world.ran(self, request)
            with self.lock:
                self.running[key] += 1
            time.sleep(self.work_s)
            with self.lock:
                self.running[key] -= 1
        return self.success(request_id, status, extra, body)

    def success(self, request_id, status=200, extra=(), body=None):
        body = f"{request_id}:done".encode() if body is None else body
        return encode(status, [("Request-Id", request_id),
                               ("Backend-Signature", f"{self.id}.{request_id}"),
                               ("Keep-Alive", "timeout=10"), *extra], body)

    def holds_key(self, key):
        with self.lock:
            return any(first <= key <= last and time.monotonic() < until
                       for (first, last), until in self.holds.items())

    def _grant(self, body):
        first, last, fence = body["from"], body["target"], body["fence"]
        with self.lock:
            for (f, l), known in self.fences.items():
                if f <= last and first <= l and known > fence:
                    return encode(409)
            new = (first, last) not in self.holds
            self.world.granted(self, first, last, fence)
            self.fences[(first, last)] = fence
            self.holds[(first, last)] = time.monotonic() + body["holdS"]
        if new:
            self.world.record(f"grant {self.id} {first}-{last} fence {fence}")
        return encode(200, [("Keep-Alive", "timeout=10")])

    def _release(self, body):
        first, last, fence = body["from"], body["target"], body["fence"]
        with self.lock:
            self.fences[(first, last)] = max(
                fence, self.fences.get((first, last), 0))
            for f, l in list(self.holds):
                if l < first or last < f:
                    continue
                until = self.holds.pop((f, l))
                if f < first:
                    self.holds[(f, first - 1)] = until
                if last < l:
                    self.holds[(last + 1, l)] = until
        while True:
            with self.lock:
                busy = any(count and key != "" and first <= int(key) <= last
                           for key, count in self.running.items())
            if not busy:
                break
            time.sleep(0.005)
        handover = f"{random.randrange(1 << 64):016x}"
        if self.on_release:
            handover = self.on_release(self, handover)
        self.world.record(f"release {self.id} {first}-{last} fence {fence} "
                          f"handover {handover!r}")
        return encode(200, [("Handover", handover)])


class Entry:
    """A process of the deploy file's role, with settings as the template of
    deploy/ renders them for a small deployment."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.store = world.store.listen()
        self.front, self.ready, self.metrics, peers = (
            free_port() for _ in range(4))
        self.path = world.directory / f"{name}.json"
        self.log_path = world.directory / f"{name}.log"
        self.settings = {
            "vm": name, "zone": zone, "region": world.regions[zone],
            "listen": {"callers": f"{HOST}:{self.front}",
                       "ready": f"{HOST}:{self.ready}",
                       "metrics": f"{HOST}:{self.metrics}",
                       "peers": f"{HOST}:{peers}"},
            "store": f"{HOST}:{self.store.port}", "regions": world.regions,
            "first_start": True, "log": {"level": "info", "format": "json"},
            "grants": {"longest_hold_s": 10},
            "retries": {"ratio": 0.2, "window_s": 10, "slack": 60},
            "vm_size": {"cores": 0.2, "link_mbps": 1000.0, "memory_mb": 260},
            "drain_s": 2,
            "version_delay": {"calm_s": 2, "disturbed_extra_s": 5},
            "stop_grace_s": 6}
        self.process = None

    def start(self, first_start=True):
        self.settings["first_start"] = first_start
        self.path.write_text(json.dumps(self.settings))
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            [str(ROOT / "target/bin/figstall-entry"), "--settings",
             str(self.path)], stdout=log, stderr=subprocess.STDOUT, cwd=ROOT)
        self.world.record(f"entry {self.name} started, pid {self.process.pid}")

    def signal(self, number):
        self.world.record(f"entry {self.name} gets signal {number}")
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection((HOST, self.ready), 1) as connection:
                connection.settimeout(1)
                connection.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n"
                                   b"Connection: close\r\n\r\n")
                head = read_head(connection.makefile("rb"))
                return head is not None and " 200 " in head.start + " "
        except OSError:
            return False

    def log(self):
        lines = []
        for line in self.log_path.read_text(
                encoding="utf-8", errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                pass
        return lines

    def events(self, name):
        return [line for line in self.log() if line.get("event") == name]

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()


class World:
    def __init__(self, directory, zones=None):
        self.regions = zones or {"arima": "north"}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(directory)
        self.store = Store(self.record)
        self.entries, self.backends = [], []
        self.runs = collections.defaultdict(list)
        self._grants, self.same_generation = [], []
        self._lock = threading.Lock()

    def ran(self, backend, request):
        with self._lock:
            self.runs[request["request-id"]].append(
                (self.record.now(), backend.id))
        self.record(f"run {request['request-id']} at {backend.id} of "
                    f"{backend.service}")

    def granted(self, backend, first, last, fence):
        """Notes generation numbers that are not above those with which other
        backends had the keys."""
        with self._lock:
            for one, f, l, known in self._grants:
                if one == backend.id or l < first or last < f:
                    continue
                found = (one, backend.id, max(f, first), min(l, last), fence)
                if fence <= known and found not in self.same_generation:
                    self.same_generation.append(found)
            grant = (backend.id, first, last, fence)
            if grant not in self._grants:
                self._grants.append(grant)

    def add_backend(self, *args, **options):
        backend = Backend(self, *args, **options)
        self.backends.append(backend)
        return backend

    def start_entries(self, zones, wait_s=15):
        for index, zone in enumerate(zones):
            self.entries.append(Entry(self, f"edge-{zone}-{index + 1}", zone))
        for entry in self.entries:
            entry.start()
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            if all(entry.is_ready() for entry in self.entries):
                return True
            time.sleep(0.1)
        return False

    def end(self):
        for entry in self.entries:
            entry.kill()
        for entry in self.entries:
            if entry.process:
                entry.process.wait()
        for backend in self.backends:
            backend.up = False
            backend.close()


class Client:
    """A connection of a client to an entry."""

    def __init__(self, world, entry, timeout_s=6):
        self.world = world
        self.socket = socket.create_connection((HOST, entry.front), 1)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(timeout_s)
        self.stream = self.socket.makefile("rb")

    def send(self, method, path, request_id, deadline_ms, key=None, body=b"",
             host="a.example", fields=()):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
                 f"Request-Id: {request_id}", f"Deadline-Ms: {deadline_ms}"]
        if key is not None:
            lines.append(f"Shard-Key: {key}")
        lines += [f"{name}: {value}" for name, value in fields]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.world.record(f"sent {request_id} {method} {path}"
                          + (f" key {key}" if key is not None else ""))
        self.socket.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
                            + body)

    def receive(self):
        """The response, or None if the connection ends without one."""
        try:
            message = read_message(self.stream)
        except OSError:
            message = None
        if message is None:
            self.world.record("connection ended without an answer")
            return None
        message.status = int(message.start.split(" ")[1])
        self.world.record(
            f"answered {message['request-id']} {message.status} "
            f"signature {message['backend-signature'] or '-'} "
            f"{message['figstall-reason']}")
        return message

    def close(self):
        self.stream.close()
        self.socket.close()


def new_id():
    return f"{random.randrange(1 << 64):016x}"


def request(world, entry, method, path, deadline_ms=1200, key=None, body=b""):
    """One client attempt on a connection of its own."""
    request_id = new_id()
    try:
        client = Client(world, entry)
    except OSError:
        world.record(f"connection for {request_id} refused")
        return request_id, None
    try:
        client.send(method, path, request_id, deadline_ms, key, body)
        return request_id, client.receive()
    except OSError:
        return request_id, None
    finally:
        client.close()


def config(version, routes, services, limits=None):
    """A desired state with the limits of a small deployment."""
    return {"version": version, "routes": routes, "services": services,
            "limits": limits or {"maxHeaderBytes": 16384,
                                 "maxBodyBytes": 67108864,
                                 "headerTimeoutS": 3, "idleTimeoutS": 15}}


def service(sharded=False, max_conns=120):
    out = {"healthPath": "/healthz", "maxConns": max_conns, "protocol": "h1",
           "tls": False}
    if sharded:
        out.update(sharded=True, warmS=3.0, grants="rpc")
    return out


def route(name, kind, timeout_s=1.2, slo_s=0.5, attempts=2, priority=1):
    return {"host": "a.example", "prefix": f"/{name}/", "kind": kind,
            "timeoutS": timeout_s, "sloS": slo_s, "priority": priority,
            "service": name, "attempts": attempts}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"

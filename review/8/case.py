"""A backend spoils one answer: one byte of the Handover of a release."""
import collections
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))
import platform_standin as standin  # noqa: E402

KEYED, PLAIN = "accounts", "orders"
BACKENDS = 9
# Of the site: share 0.45 of the backends, one at a time.
RELEASE_SHARE, RELEASE_GAP_S = 0.45, 1.0
RELEASES_AT_S = (5.0, 10.0, 15.0)
# Of the site: a share of 0.35 of the backends garbles, for this long.
GARBLING_BACKENDS, GARBLE_S = 3, 5.5
# drainS, and a little longer.
SERVES_AFTER_DRAINING_S = 3.0
DAY_S = 90.0


class Load:
    """Clients that each send at a steady rate on a connection of their own."""

    def __init__(self, world, name, method, clients, per_second, keys):
        self.world, self.name, self.method = world, name, method
        self.keys = keys
        self.sent = self.served = 0
        self.by_second = collections.Counter()
        self._lock = threading.Lock()
        self._end_at = world.record.now() + DAY_S
        self.threads = [
            threading.Thread(target=self._run, args=(i, clients / per_second))
            for i in range(clients)]
        for thread in self.threads:
            thread.start()

    def _run(self, index, interval_s):
        entries = self.world.entries
        entry, client, count = entries[index % len(entries)], None, index * 977
        due = self.world.record.now() + interval_s * index / 20
        while due < self._end_at:
            time.sleep(max(0.0, due - self.world.record.now()))
            due += interval_s
            count += 1
            key = count * 3571 % 65536 if self.keys else None
            response = None
            try:
                client = client or standin.Client(self.world, entry)
                client.send(self.method, f"/{self.name}/x", standin.new_id(),
                            1200, key, b"x" if self.method == "POST" else b"")
                response = client.receive()
            except OSError:
                pass
            if response is None or response["connection"].lower() == "close":
                if client:
                    client.close()
                client = None
            with self._lock:
                self.sent += 1
                if response and response.status == 200:
                    self.served += 1
                    self.by_second[int(self.world.record.now())] += 1


def main():
    world = standin.World(HERE, {"arima": "north", "sando": "south"})
    record = world.record
    spoiled = []
    try:
        old = [world.add_backend(KEYED, ("arima", "sando")[i % 2], True,
                                 work_s=0.01) for i in range(BACKENDS)]
        for i in range(3):
            world.add_backend(PLAIN, ("arima", "sando")[i % 2], work_s=0.01)
        world.store.put("op/config", standin.config(
            1, {KEYED: standin.route(KEYED, "safe"),
                PLAIN: standin.route(PLAIN, "unsafe")},
            {KEYED: standin.service(True), PLAIN: standin.service()}))
        if not world.start_entries(["arima", "sando", "arima"]):
            record("the entries did not become ready")
            return 2
        time.sleep(4)
        began = record.now()
        loads = [Load(world, KEYED, "GET", 5, 20, True),
                 Load(world, PLAIN, "POST", 8, 48, False)]

        # One answer is spoiled among all that the garbling backends give.
        garbling = old[:GARBLING_BACKENDS]

        def spoil(backend, handover):
            if spoiled or not standin.trouble():
                return handover
            spoiled.append(record.now())
            record(f"{backend.id} spoils its answer to a release")
            return handover[:-1] + "\xe9"

        for backend in garbling:
            backend.on_release = spoil

        # Planned work: all backends of the service are replaced, a share at a
        # time, the new one first.
        step = int(BACKENDS * RELEASE_SHARE)
        batches = [old[i:i + step] for i in range(0, BACKENDS, step)]
        for at_s, batch in zip(RELEASES_AT_S, batches):
            time.sleep(max(0.0, began + at_s - record.now()))
            for backend in batch:
                world.add_backend(KEYED, backend.zone, True, work_s=0.01)
                time.sleep(RELEASE_GAP_S)
                backend.drain(SERVES_AFTER_DRAINING_S)
        for load in loads:
            for thread in load.threads:
                thread.join()

        shares = {}
        for load in loads:
            shares[load.name] = load.served / load.sent
            record(f"{load.name}: {load.served} of {load.sent} served")
        everything = sum(l.served for l in loads) / sum(l.sent for l in loads)
        served_late = sum(n for second, n in loads[0].by_second.items()
                          if second > began + 40)
        record(f"all: {everything:.3f} served; {KEYED} {shares[KEYED]:.3f}; "
               f"{served_late} of {KEYED} served later than 40 s")
        for entry in world.entries:
            for line in entry.events("unexpected-error"):
                record(f"{entry.name} logs {line['event']}: {line['what']}")
        if spoiled:
            answers = sum(spoiled[0] - GARBLE_S < at <= spoiled[0]
                          for backend in garbling for at in backend.answered_at)
            record(f"answers of the garbling backends in {GARBLE_S} s: "
                   f"{answers}, spoiled: {len(spoiled)}")
        broken = shares[KEYED] < everything / 4
        record("broken: Starved" if broken else "held")
        print(f"{KEYED} {shares[KEYED]:.3f}, all {everything:.3f}, "
              f"{served_late} served later than 40 s:",
              "broken" if broken else "held")
        if standin.trouble() and not spoiled:
            return 2
        return 1 if broken else 0
    finally:
        world.end()


if __name__ == "__main__":
    standin.run(main)

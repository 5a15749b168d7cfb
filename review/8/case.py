"""A backend crashes and starts again under its id, and at first turns requests
away with 503 and Retry-After."""
import collections
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))
import platform_standin as standin  # noqa: E402

SERVICE = "orders"
# One of seven is a share of 0.143.
BACKENDS, ENTRIES = 7, 2
# Each client sends an order a second, all at about the same time.
CLIENTS_PER_ENTRY = 32
RETRY_AFTER_S = 4.0
# How long the answer of a backend that has just started takes. As much passes
# on the way from another region.
ANSWER_S = 0.025
# The rule.
GRACE_S, ALLOWED = 0.5, 2


def main():
    world = standin.World(HERE)
    record = world.record
    stop = threading.Event()
    statuses = collections.Counter()
    # By entry: when a request reached the backend, and when it had first
    # answered with Retry-After.
    reached = collections.defaultdict(list)
    first_answer = {}
    pause_ends_at = None

    def client_loop(index, first_at):
        entry, client, due = world.entries[index % ENTRIES], None, first_at
        while not stop.is_set():
            time.sleep(max(0.0, due - record.now()))
            due += 1.0
            response = None
            try:
                client = client or standin.Client(world, entry)
                client.send("POST", f"/{SERVICE}/x", standin.new_id(), 1200,
                            body=b"x", fields=[("From-Entry", entry.name)])
                response = client.receive()
            except OSError:
                pass
            statuses[response.status if response else None] += 1
            if response is None or response["connection"].lower() == "close":
                if client:
                    client.close()
                client = None

    def turn_away(backend, request, _connection):
        entry = request["from-entry"]
        reached[entry].append(record.now())
        record(f"{request['request-id']} from {entry} reaches {backend.id}")
        time.sleep(ANSWER_S)
        left = pause_ends_at - record.now()
        if left <= 0:
            return False
        first_answer.setdefault(entry, record.now())
        record(f"{backend.id} turns {request['request-id']} from {entry} away, "
               f"Retry-After {left:.2f}")
        return standin.encode(503, [("Not-Executed", 1),
                                    ("Request-Id", request["request-id"]),
                                    ("Retry-After", f"{left:.2f}"),
                                    ("Keep-Alive", "timeout=10")])

    try:
        backends = [world.add_backend(SERVICE, "arima", work_s=0.08)
                    for _ in range(BACKENDS)]
        world.store.put("op/config", standin.config(
            1, {SERVICE: standin.route(SERVICE, "unsafe")},
            {SERVICE: standin.service()}))
        if not world.start_entries(["arima"] * ENTRIES):
            return 2
        time.sleep(3)
        began = record.now() + 0.5
        threads = [threading.Thread(target=client_loop, args=(i, began))
                   for i in range(CLIENTS_PER_ENTRY * ENTRIES)]
        for thread in threads:
            thread.start()
        time.sleep(began + 4.8 - record.now())
        backend = backends[0]
        if standin.trouble():
            backend.crash()
            time.sleep(0.05)
        pause_ends_at = record.now() + RETRY_AFTER_S
        backend.on_request = turn_away
        if standin.trouble():
            backend.start_again()
        time.sleep(RETRY_AFTER_S + 2)
        stop.set()
        for thread in threads:
            thread.join()

        broken = False
        for entry, answered_at in sorted(first_answer.items()):
            late = [at - answered_at for at in reached[entry]
                    if answered_at + GRACE_S < at < pause_ends_at]
            broken = broken or len(late) > ALLOWED
            text = (f"{entry}: {len(late)} requests reached {backend.id} later "
                    f"than {GRACE_S} s after its answer and before the end of "
                    f"Retry-After: {[round(at, 3) for at in late]}")
            record(text)
            print(text)
        record(f"answers: {dict(statuses)}")
        record("broken: BUDGET" if broken else "held")
        print("broken" if broken else "held")
        if not first_answer:
            return 2
        return 1 if broken else 0
    finally:
        stop.set()
        world.end()


if __name__ == "__main__":
    try:
        STATUS = main()
    except Exception as error:  # pylint: disable=broad-except
        print("could not run:", error)
        STATUS = 2
    sys.exit(STATUS)

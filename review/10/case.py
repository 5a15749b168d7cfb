"""An entry is stopped as planned while clients read slowly and send further
requests."""
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))
import platform_standin as standin  # noqa: E402

PAPERS, CATALOGUE = "papers", "catalogue"
CLIENTS = 6
# A download, of up to 540,000 bytes at the site, and its client's time limit.
DOWNLOAD_BYTES, TIME_LIMIT_S = 400_000, 8.0
# The client needs 5 s for the download.
SLOW_BYTES_PER_S = 80_000
# After the download's request.
SIGTERM_AFTER_S, LOOKUP_AFTER_S = 0.2, 4.5
GRACE_S = 6.0


class PaperBackend(standin.Backend):
    def run(self, request, *args, **options):
        return super().run(request, body=b"x" * DOWNLOAD_BYTES)


class Client(threading.Thread):
    def __init__(self, world, entry):
        super().__init__()
        self.world, self.entry = world, entry
        self.download, self.lookup = standin.new_id(), standin.new_id()
        self.got = 0
        self.whole = False
        self.ended = None

    def run(self):
        client = standin.Client(self.world, self.entry)
        limit_ms = int(TIME_LIMIT_S * 1e3)
        sent_at = time.monotonic()
        client.send("GET", f"/{PAPERS}/x", self.download, limit_ms)
        looked_up = False
        data = b""
        try:
            while time.monotonic() - sent_at < TIME_LIMIT_S:
                if not looked_up and time.monotonic() - sent_at > \
                        LOOKUP_AFTER_S:
                    looked_up = True
                    client.send("GET", f"/{CATALOGUE}/x", self.lookup,
                                limit_ms)
                time.sleep(0.1)
                piece = client.socket.recv(SLOW_BYTES_PER_S // 10)
                if not piece:
                    self.ended = "closed"
                    break
                data += piece
                head, separator, body = data.partition(b"\r\n\r\n")
                if separator and len(body) >= DOWNLOAD_BYTES:
                    self.whole = True
                    break
        except OSError as error:
            self.ended = str(error)
        self.got = len(data)
        self.world.record(
            f"download {self.download}: "
            f"{'whole' if self.whole else 'not whole'}, {self.got} bytes read, "
            f"connection {self.ended or 'open'} after "
            f"{time.monotonic() - sent_at:.2f} s")
        client.close()


def main():
    world = standin.World(HERE)
    record = world.record
    try:
        for _ in range(4):
            world.backends.append(PaperBackend(world, PAPERS, "arima"))
            world.add_backend(CATALOGUE, "arima")
        world.store.put("op/config", standin.config(
            1, {PAPERS: standin.route(PAPERS, "download", timeout_s=8.0,
                                      slo_s=1.2),
                CATALOGUE: standin.route(CATALOGUE, "safe", timeout_s=8.0,
                                         slo_s=1.0)},
            {PAPERS: standin.service(), CATALOGUE: standin.service()}))
        if not world.start_entries(["arima"] * 2):
            return 2
        # stabilityS without a disturbance.
        time.sleep(4)
        entry = world.entries[0]
        clients = [Client(world, entry) for _ in range(CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(SIGTERM_AFTER_S)
        if standin.trouble():
            stopped_at = record.now()
            entry.signal(signal.SIGTERM)
            try:
                entry.process.wait(GRACE_S)
                record(f"{entry.name} ended {record.now() - stopped_at:.2f} s "
                       f"after SIGTERM, of {GRACE_S} s")
            except standin.subprocess.TimeoutExpired:
                entry.process.kill()
                record(f"{entry.name} is killed at the end of the grace")
        for client in clients:
            client.join()
        lost = [client for client in clients
                if client.ended and not client.whole and
                client.download in world.runs]
        text = (f"{len(lost)} of {CLIENTS} downloads had run and ended "
                "without a whole answer:")
        record(text + (" broken: LOST" if lost else " held"))
        print(text, "broken" if lost else "held")
        if not standin.trouble() and not all(c.whole for c in clients):
            return 2
        return 1 if lost else 0
    finally:
        world.end()


if __name__ == "__main__":
    standin.run(main)

"""Downloads of 600 KB, each on a connection of its own that the client asks to
close. Some backends break off a few of their answers, as `garble` does. Fails if
a client gets a success that looks complete and whose body is not the whole body
of the backend."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
from standin import Backend, Entry, Store, now, request, run_case  # noqa

REGIONS = {"arima": "north", "couva": "north"}
RATE = 40
BODY_BYTES = 600_000
BROKEN_AT = 450_000
# Every 34th answer (under 3 %) of 3 of the 5 backends (share 0.6), for 5 s at a time.
FAULTY_BACKENDS = 3
ONE_IN = 34
SPOILS_FOR_S = 5
ROUNDS = 4


def body_of(rid):
    line = f"{rid} drawing\n".encode()
    return (line * (BODY_BYTES // len(line) + 1))[:BODY_BYTES]


class ArchiveBackend(Backend):
    spoils_until = 0
    answers = 0
    spoiled = 0

    async def run(self, headers, body, reader):
        rid = headers["request-id"]
        self.record("run", backend=self.name, id=rid)
        async with self.slots:
            if not await self.work_until(reader, self.work_s):
                return None
        head = ("HTTP/1.1 200 OK\r\n"
                f"Request-Id: {rid}\r\nBackend-Signature: sig-{rid}\r\n"
                "Keep-Alive: timeout=10\r\n"
                f"Content-Length: {BODY_BYTES}\r\n\r\n").encode()
        return head + body_of(rid)

    def spoiled_answer(self, kind, answer):
        if kind != "request" or now() >= self.spoils_until:
            return answer
        self.answers += 1
        if self.answers % ONE_IN != 0:
            return answer
        self.spoiled += 1
        return answer[:BROKEN_AT]

    async def serve(self, reader, writer):
        self.spoil = self.spoiled_answer

        # Closes the connection behind an answer that was broken off.
        class Closing:
            def __getattr__(closing, name):
                return getattr(writer, name)

            async def drain(closing):
                await writer.drain()
                if closing.broken:
                    writer.close()
                    raise ConnectionError

            broken = False

            def write(closing, data):
                closing.broken = 1000 < len(data) < BODY_BYTES
                if closing.broken:
                    self.record("broken-off", backend=self.name,
                                bytes=len(data))
                writer.write(data)

        closing = Closing()
        await super().serve(reader, closing)


async def main(record, directory, trouble):
    store = Store()
    await store.start()
    backends = [ArchiveBackend(store, f"b{i}", "archive",
                               list(REGIONS)[i % 2], record, slots=4,
                               work_s=0.03) for i in range(5)]
    for backend in backends:
        await backend.start()
    await store.put("op/config", {
        "version": 3,
        "routes": {"drawing": {
            "host": "a.example", "prefix": "/a/", "kind": "download",
            "service": "archive", "timeoutS": 4, "sloS": 1, "attempts": 2,
            "priority": 2}},
        "services": {"archive": {"maxConns": 120}},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000,
                   "headerTimeoutS": 5, "idleTimeoutS": 20}})
    entries = [Entry(directory, store.address, f"{zone}-1", zone, REGIONS)
               for zone in REGIONS]
    answers = []
    wrong = []
    tasks = []

    async def one(number, front):
        rid = f"r{number:06d}"
        record("sent", id=rid)
        status, headers, body = await request(
            front, rid, headers=[("Connection", "close")], deadline_ms=4000)
        answers.append(status)
        whole = body == body_of(rid)
        record("answered", id=rid, status=status, bytes=len(body),
               length=headers.get("content-length"),
               coding=headers.get("transfer-encoding"))
        if status == 200 and not whole:
            wrong.append(rid)
            record("VIOLATION", rule="MIXED", id=rid, bytes=len(body),
                   of=BODY_BYTES,
                   signature=headers.get("backend-signature"))

    try:
        for entry in entries:
            entry.start()
        for entry in entries:
            if not await entry.wait_ready():
                return 2
        began = now()
        for number in range(RATE * ROUNDS * (SPOILS_FOR_S + 1)):
            if trouble and number % (RATE * (SPOILS_FOR_S + 1)) == RATE:
                for backend in backends[:FAULTY_BACKENDS]:
                    backend.spoils_until = now() + SPOILS_FOR_S
            tasks.append(asyncio.create_task(
                one(number, entries[number % 2].front)))
            await asyncio.sleep(max(0, began + number / RATE - now()))
        await asyncio.gather(*tasks)
    finally:
        for entry in entries:
            entry.end()
    served = sum(status == 200 for status in answers)
    record("result", violations=len(wrong), requests=len(answers),
           served=served, broken_off=sum(b.spoiled for b in backends))
    if served < len(answers) * 0.8:
        return 2
    return 1 if wrong else 0


run_case(main, FOLDER)

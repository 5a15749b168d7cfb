"""A target for tests that writes faulty bytes, served on a thread per connection.

It accepts all grants and releases. The emulator publishes its entry in the store
(a target with "external": true).
"""
import socket
import threading


def read_head(stream):
    """Returns the path and header fields of a request, or None at the end of the
    connection."""
    line = stream.readline()
    if not line:
        return None
    fields = {}
    while (field := stream.readline()) not in (b"\r\n", b""):
        name, value = field.decode().split(":", 1)
        fields[name.strip().lower()] = value.strip()
    return line.decode().split(" ")[1], fields


def read_request(stream):
    """Returns the path, header fields and body of a request, or None at the end
    of the connection."""
    head = read_head(stream)
    if not head:
        return None
    return *head, stream.read(int(head[1].get("content-length", 0)))


def response(status, request_id="", body="", **fields):
    """Returns the bytes of a response that keeps the connection open."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}",
            "Keep-Alive: timeout=10"]
    if request_id:
        head.append(f"Request-Id: {request_id}")
    head += [f"{name.replace('_', '-')}: {value}"
             for name, value in fields.items()]
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()


class RawTarget:
    """`answer(connection, request_id, send)` is called for each request of a
    caller, with a number for its connection and a function that writes bytes.

    With `accepting` false, its accept queue is full until begin_accepting() is
    called, so that connections wait for the kernel to send their SYN again."""

    def __init__(self, port, answer, accepting=True):
        self._answer = answer
        self._listener = socket.create_server(
            ("127.0.0.1", port), backlog=None if accepting else 0)
        self._connections = 0
        self._fillers = []
        if accepting:
            return self.begin_accepting()
        # A queue of length 0 takes one connection.
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
            self._fillers.append(filler)

    def begin_accepting(self):
        self._listener.listen(128)
        for filler in self._fillers:
            filler.close()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections += 1
            threading.Thread(target=self._serve, daemon=True,
                             args=(connection, self._connections)).start()

    def _serve(self, connection, number):
        with connection, connection.makefile("rb") as stream:
            try:
                while request := read_request(stream):
                    path, fields, _ = request
                    if path in ("/grant", "/release"):
                        connection.sendall(response(200))
                    else:
                        self._answer(number, fields["request-id"],
                                     connection.sendall)
            except OSError:
                pass

    def close(self):
        self._listener.close()


class EarlyTarget(RawTarget):
    """Calls `answer(connection, request_id, read_body)` when the head of a
    request has arrived, and closes the connection when it returns."""

    def _serve(self, connection, number):
        with connection, connection.makefile("rb") as stream:
            try:
                while head := read_head(stream):
                    path, fields = head
                    length = int(fields.get("content-length", 0))
                    if path not in ("/grant", "/release"):
                        self._answer(connection, fields["request-id"],
                                     lambda: stream.read(length))
                        return
                    stream.read(length)
                    connection.sendall(response(200))
            except OSError:
                pass

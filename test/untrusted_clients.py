"""Crowds of misbehaving clients, written with plain sockets. Each client of a crowd has a thread of its own."""

import re
import socket
import threading
import time

from platform_system import MAX_BODY_BYTES

PIECE = b"x" * 65536
# A client gives up a send that the process does not accept; the test then goes on to its checks.
SEND_TIMEOUT = 3


class Client:
    """One connection. `receive_buffer` makes the kernel keep little of an answer that is not read."""

    def __init__(self, address, number, receive_buffer=None):
        self.number = number
        self.status = None
        host, port = address.split(":")
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(SEND_TIMEOUT)
        self.socket.connect((host, int(port)))

    @property
    def attempt(self):
        return f"u{self.number}"

    def send(self, data):
        self.socket.sendall(data)

    def send_bytes(self, count):
        while count > 0:
            self.send(PIECE[:count])
            count -= len(PIECE)

    def head(self, path, *fields, method="POST"):
        lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Tamarackcove-Attempt-Id: {self.attempt}", *fields]
        self.send("\r\n".join(lines + ["", ""]).encode())

    def read_status(self):
        """Keeps the status of the first final answer, if there is one within the time of the route."""
        self.socket.settimeout(10)
        data = b""
        while self.status is None and len(data) < 4096:
            piece = self.socket.recv(1024)
            if not piece:
                return
            data += piece
            found = re.search(rb"HTTP/1\.1 ([2-5]\d\d)", data)
            if found:
                self.status = int(found.group(1))


class Crowd:
    """Runs `behave(client)` for `count` clients at once and keeps their connections open until `close`."""

    def __init__(self, address, count, behave, receive_buffer=None):
        self.clients = []
        self.threads = []
        for number in range(count):
            thread = threading.Thread(target=self._run, args=(address, number, behave, receive_buffer), daemon=True)
            self.threads.append(thread)
            thread.start()

    def _run(self, address, number, behave, receive_buffer):
        try:
            client = Client(address, number, receive_buffer)
            self.clients.append(client)
            behave(client)
        except OSError:
            pass  # the process has closed the connection or accepts no more bytes, both of which it may do

    def finish(self, timeout=20):
        deadline = time.monotonic() + timeout
        for thread in self.threads:
            thread.join(max(deadline - time.monotonic(), 0))
        return self

    def close(self):
        for client in self.clients:
            client.socket.close()

    def statuses(self):
        return {client.attempt: client.status for client in list(self.clients) if client.status is not None}


def endless_trailer(client, path, body, line, slowly):
    """A chunked body, empty or not, that is followed by trailer fields without end."""
    client.head(path, "Transfer-Encoding: chunked")
    client.send((b"5\r\nhello\r\n" if body else b"") + b"0\r\n")
    if not line:
        client.send(b"a: ")
    piece = b"t: x\r\n" * 10000 if line else b"x" * 60000
    if slowly:
        piece = piece[:600]
    for _ in range(200):
        client.send(piece)
        if slowly:
            time.sleep(0.01)


def body_over_the_limit(client, path, how):
    over = 8 * MAX_BODY_BYTES
    if how == "chunked":
        client.head(path, "Transfer-Encoding: chunked")
        for _ in range(over // len(PIECE)):
            client.send(b"%x\r\n%s\r\n" % (len(PIECE), PIECE))
    elif how == "announced":
        client.head(path, f"Content-Length: {over}")
        client.send_bytes(over)
    elif how == "expected":
        client.head(path, f"Content-Length: {over}", "Expect: 100-continue")
        client.send_bytes(over)
    else:
        client.head(path, "Content-Length: 10")
        client.send_bytes(over)


def legal_body(client, path, how):
    """A body of the largest legal size: whole, in pieces with pauses, or one byte short, which then stays open."""
    size = MAX_BODY_BYTES
    client.head(path, f"Content-Length: {size}")
    if how == "pieces":
        for _ in range(size // len(PIECE)):
            client.send(PIECE)
            time.sleep(0.01)
    else:
        client.send_bytes(size - (1 if how == "short" else 0))
    if how != "short":
        client.read_status()


def chunked_body(client, path):
    """As legal_body one byte short, but with no announced size."""
    client.head(path, "Transfer-Encoding: chunked")
    for _ in range(MAX_BODY_BYTES // len(PIECE) - 1):
        client.send(b"%x\r\n%s\r\n" % (len(PIECE), PIECE))


def odd_head(client, kind):
    if kind == "lines":
        client.send(b"GET /once/x HTTP/1.1\r\nHost: h\r\n" + b"a: b\r\n" * 200000)
    elif kind == "long":
        client.send(b"GET /once/x HTTP/1.1\r\nHost: h\r\na: " + b"b" * 1000000)
    elif kind == "bytes":
        for byte in b"GET /once/x HTTP/1.1\r\nHost: h\r\n" + b"a" * 200:
            client.send(bytes([byte]))
            time.sleep(0.01)


def pipelined(client, path):
    client.socket.settimeout(1)
    one = f"GET {path} HTTP/1.1\r\nHost: h\r\nTamarackcove-Attempt-Id: {client.attempt}\r\n\r\n".encode()
    for _ in range(200):
        client.send(one * 100)


def unread(client, path):
    client.head(path, method="GET")

"""Starts the programs of the deploy file on loopback addresses of their own, with stand-ins for servers, clients and
the operator that follow the users' pages. Used by the scripts of the cases 6 to 10; needs only Python's library."""

import http.client
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "target" / "bin"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played: the programs did not start, or a condition of the case was not reached."""


class Record:
    """The lines of record.txt: what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise CannotRun(what)


def call(address, method, path, headers=None, body=b"", timeout=2.0):
    """One exchange on a connection of its own: (status, headers, body). Raises OSError or http.client.HTTPException."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Server:
    """A server of the platform as PROTOCOL.md describes it. It runs requests, echoes their id, and reports itself."""

    def __init__(self, system, service, name, models=None, slots=64, receive_buffer=None):
        self.system, self.service, self.name = system, service, name
        self.models, self.slots = models, slots
        self.born = int(time.time() * 1000)
        self.beats = itertools.count(1)
        self.closing = threading.Event()
        self.quiet = threading.Event()
        self.heartbeat_address = None
        self.acked_beats = 0
        self.orders = 0
        self.listener = socket.socket()
        if receive_buffer:
            # The segments and windows of a network instead of those of a loopback interface, whose segments of 64 KB
            # make the kernel of the sender take megabytes at once.
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        self.listener.bind((system.address(), 0))
        self.listener.listen(256)
        self.address = self.listener.getsockname()
        self.connections = set()

    def start(self):
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()
        return self

    def stop(self):
        self.closing.set()
        for each in [self.listener, *list(self.connections)]:
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            each.close()

    # What a case may replace.
    def read_body(self, connection, already, length):
        """Reads the rest of a body. Returns False if the connection ends before."""
        while already < length:
            piece = connection.recv(min(65536, length - already))
            if not piece:
                return False
            already += len(piece)
        return True

    def run(self, connection, method, path, headers):
        self.reply(connection, 200, headers, b"done")

    def reply(self, connection, status, request_headers, body, **extra):
        lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
        attempt = request_headers.get("tamarackcove-attempt-id")
        if attempt is not None:
            lines.append(f"Tamarackcove-Attempt-Id: {attempt}")
        lines.append(f"Tamarackcove-Instance-Id: {self.name}")
        if extra.pop("sealed", True):
            lines.append(f"Tamarackcove-Server-Seal: {self.name}.{attempt}")
        lines += [f"{key.replace('_', '-')}: {value}" for key, value in extra.items()]
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def report(self):
        return {"born": self.born, "stage": "mixed", "models": self.models or [], "busy": False, "seq": self.orders,
                "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 100000, "handles": 0}

    def order(self, body):
        return 409, {}

    def heartbeat(self, state="ready"):
        beat = {"service": self.service, "addr": "%s:%d" % self.address, "zone": self.system.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldLeftMs": 0, "seq": next(self.beats), "born": self.born}
        if self.models is not None:
            beat["stage"], beat["models"] = "mixed", self.models
        return beat

    def _accept(self):
        while not self.closing.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    piece = connection.recv(4096)
                    if not piece:
                        return
                    buffer += piece
                head, buffer = buffer.split(b"\r\n\r\n", 1)
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:])}
                length = int(headers.get("content-length", 0))
                if path.startswith("/v1/"):
                    while len(buffer) < length:
                        buffer += connection.recv(4096)
                    body, buffer = buffer[:length], buffer[length:]
                    self._administer(connection, method, path, headers, body)
                    continue
                expected = headers.get("tamarackcove-expect-instance")
                if expected not in (None, self.name):
                    self.system.record.line(f"server {self.name} got {headers.get('tamarackcove-attempt-id')} for "
                                            f"{expected}: 421")
                    if not self.read_body(connection, min(len(buffer), length), length):
                        return
                    buffer = buffer[length:]
                    self.reply(connection, 421, headers, b"", sealed=False, Tamarackcove_Not_Executed="1")
                    continue
                self.system.note_arrival(self, headers)
                if not self.read_body(connection, min(len(buffer), length), length):
                    return
                buffer = buffer[length:]
                self.run(connection, method, path, headers)
        except (OSError, ValueError):
            return
        finally:
            self.connections.discard(connection)
            connection.close()

    def _administer(self, connection, method, path, headers, body):
        if path == "/v1/order":
            status, answer = self.order(json.loads(body))
        else:
            status, answer = 200, self.report()
        text = json.dumps(answer).encode()
        connection.sendall(f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {len(text)}\r\n"
                           "\r\n".encode() + text)

    def tell_control(self, path, body, timeout=1.0):
        """A call of the server to the nodes that serve `control`: the next one after a failure, a 307 twice. Returns
        the status of the answer, or 0."""
        nodes = list(self.system.control_addresses)
        random.shuffle(nodes)
        if self.heartbeat_address:
            nodes.insert(0, self.heartbeat_address)
        for node in nodes:
            for _ in range(3):
                try:
                    status, headers, answer = call(node, "POST", path, {"Content-Type": "application/json"}, body,
                                                   timeout)
                except (OSError, http.client.HTTPException):
                    self.heartbeat_address = None
                    break
                if status == 307:
                    host, port = headers["Location"].split("/")[2].split(":")
                    node = (host, int(port))
                    continue
                if 200 <= status < 300:
                    named = json.loads(answer or b"{}").get("heartbeatAddr")
                    if named:
                        host, port = named.split(":")
                        self.heartbeat_address = (host, int(port))
                    return status
                break
        return 0

    def beat_once(self, state="ready"):
        return self.tell_control(f"/v1/Instances.Heartbeat/{self.name}", json.dumps(self.heartbeat(state)).encode())

    def deregister(self):
        return self.tell_control(f"/v1/Instances.Deregister/{self.name}", b"")

    def _beat(self):
        while not self.closing.is_set():
            if not self.quiet.is_set() and self.beat_once() == 200:
                self.acked_beats += 1
            self.closing.wait(self.system.heartbeat_ms / 1000)


class System:
    """Control hosts and entries as processes, each on a loopback address of its own, all with the same ports."""

    def __init__(self, record, controls=3, entries=1, heartbeat_ms=1200, memory_mb=260, bounds=None):
        self.record, self.zone, self.heartbeat_ms, self.memory_mb = record, "mu-port", heartbeat_ms, memory_mb
        self.bounds = {"retryRatio": 0.2, "retrySlack": 54, "retryWindowS": 10, "graceS": 8, "leaseMs": 3000,
                       **(bounds or {})}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.next_host = itertools.count(1)
        self.processes = {}
        self.servers = []
        self.on_arrival = None
        self._choose_network()
        self.control_hosts = [self.address() for _ in range(controls)]
        self.entry_hosts = [self.address() for _ in range(entries)]
        self.control_addresses = [(host, self.port) for host in self.control_hosts]
        self.entry_addresses = [(host, self.port) for host in self.entry_hosts]

    def _choose_network(self):
        for _ in range(200):
            self.network = f"127.{random.randint(40, 250)}.{random.randint(1, 250)}"
            self.port = random.randint(20000, 30000)
            try:
                for offset in range(14):
                    with socket.socket() as probe:
                        probe.bind((f"{self.network}.1", self.port + offset))
                return
            except OSError:
                continue
        raise CannotRun("no free ports")

    def address(self):
        return f"{self.network}.{next(self.next_host)}"

    def _settings(self, role, host, first_start):
        """What the templates deploy/entry.json and deploy/control.json give for a small deployment."""
        common = {"name": f"{role}-{host}", "zone": self.zone, "listen": f"{host}:{self.port}",
                  "metrics_listen": f"{host}:{self.port + 1}", "memory_mb": self.memory_mb, "max_descriptors": 4100,
                  "internal_ports": [self.port + 3, self.port + 13],
                  "seeds": [f"{each}:{self.port}" for each in self.control_hosts[:3]]}
        if role == "entry":
            return {**common, "ready_listen": f"{host}:{self.port + 2}", "retry_ratio": self.bounds["retryRatio"],
                    "retry_slack": self.bounds["retrySlack"], "retry_window_s": self.bounds["retryWindowS"],
                    "grace_s": self.bounds["graceS"]}
        return {**common, "first_start": first_start, "data_folder": str(self.folder / f"data-{host}"),
                "losses_tolerated": 1, "heartbeat_ms": self.heartbeat_ms, "order_lease_ms": self.bounds["leaseMs"]}

    def kill_process(self, role, host):
        self.processes[(role, host)].kill()
        self.processes[(role, host)].wait()

    def start_process(self, role, host, first_start=False):
        path = self.folder / f"{role}-{host}.json"
        path.write_text(json.dumps(self._settings(role, host, first_start)))
        log = open(self.folder / f"{role}-{host}.log", "ab")
        binary = BIN / f"tamarackcove-platform-{role}"
        if not binary.exists():
            raise CannotRun(f"{binary.name} is not built")
        self.processes[(role, host)] = subprocess.Popen([str(binary), "--settings", str(path)], cwd=ROOT, stdout=log,
                                                        stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        return self.processes[(role, host)]

    def start(self, configuration):
        for host in self.control_hosts:
            self.start_process("control", host, first_start=True)
        for host in self.entry_hosts:
            self.start_process("entry", host)
        wait_until(lambda: self.put(configuration) == 200, 20, "the configuration was not acknowledged")
        for host in self.entry_hosts:
            wait_until(lambda each=host: self.is_ready(each), 20, "an entry did not become ready")

    def is_ready(self, host):
        try:
            return call((host, self.port + 2), "GET", "/v1/readyz")[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def put(self, configuration, path="/v1/Config.Replace", timeout=1.5):
        """A call of the operator: any node, a 307 twice, the next node after a failure."""
        body = json.dumps(configuration).encode()
        for first in random.sample(self.control_addresses, len(self.control_addresses)):
            node = first
            for _ in range(3):
                try:
                    status, headers, _ = call(node, "POST", path, {"Content-Type": "application/json"}, body, timeout)
                except (OSError, http.client.HTTPException):
                    break
                if status != 307:
                    if status == 200 or 400 <= status < 500:
                        return status
                    break
                host, port = headers["Location"].split("/")[2].split(":")
                node = (host, int(port))
        return 0

    def note_arrival(self, server, headers):
        attempt = headers.get("tamarackcove-attempt-id")
        self.record.line(f"server {server.name} got {attempt}")
        if self.on_arrival:
            self.on_arrival(server, attempt)

    def add(self, server):
        self.servers.append(server)
        return server.start()

    def log_text(self):
        return "\n".join(path.read_text(errors="replace") for path in sorted(self.folder.glob("*.log")))

    def ended_processes(self):
        return [f"{role} {host} ended with {process.returncode}" for (role, host), process in self.processes.items()
                if process.poll() is not None]

    def close(self):
        for server in self.servers:
            server.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, timeout_ms, attempts=1, **extra):
    return {"name": name, "host": "desk.example", "pathPrefix": f"/{name}/", "type": kind, "timeoutMs": timeout_ms,
            "goalMs": 150, "priority": 2, "service": service, "attempts": attempts, "sticky": False, "resumable": False,
            **extra}


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def main(folder, play):
    """Runs play(record), which returns whether the rule held, and ends with the exit code of the case."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        held = play(record)
    except CannotRun as reason:
        record.say(f"cannot run: {reason}")
        sys.exit(NOT_RUN)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)

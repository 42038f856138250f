"""Starts one control host, one entry and a stand-in server of the platform on a loopback address of their own."""

import http.server
import itertools
import json
import os
import pathlib
import socketserver
import subprocess
import threading
import time

import requests

from harness import BIN, wait_for

ROUTE_TIMEOUT_MS = 8000
MAX_HEAD_BYTES = 16384
MAX_BODY_BYTES = 4194304
HEARTBEAT_MS = 1000
NEXT_HOST = itertools.count(1)


def accepts(binary, settings, folder):
    path = folder / "settings-check.json"
    path.write_text(json.dumps(settings))
    checked = subprocess.run([BIN / binary, "--settings", path, "--check"], capture_output=True, timeout=60)
    return checked.returncode == 0


class StandInHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def answer(self):
        owner = self.server.owner
        length = int(self.headers.get("content-length", 0))
        while length > 0:
            piece = self.rfile.read(min(length, 65536))
            if not piece:
                return
            length -= len(piece)
        if self.path.startswith("/v1/"):
            return self.reply(json.dumps(owner.report()).encode())
        attempt = self.headers.get("Tamarackcove-Attempt-Id", "")
        owner.seen.append(attempt)
        if self.path.startswith("/stream"):
            return self.stream(attempt)
        if "slow" in self.path:
            time.sleep(1)
        return self.reply(b"x" * (MAX_BODY_BYTES if "large" in self.path else 2), attempt)

    do_GET = do_POST = do_PUT = answer

    def reply(self, body, attempt=""):
        self.send_response(200)
        self.send_header("content-length", str(len(body)))
        self.send_header("Tamarackcove-Attempt-Id", attempt)
        self.send_header("Tamarackcove-Server-Seal", "seal")
        self.end_headers()
        self.wfile.write(body)

    def stream(self, attempt):
        self.send_response(200)
        self.send_header("content-type", "text/event-stream")
        self.send_header("transfer-encoding", "chunked")
        self.send_header("Tamarackcove-Attempt-Id", attempt)
        self.send_header("Tamarackcove-Server-Seal", "seal")
        self.end_headers()
        for number in range(1, 401):
            event = f"id: {number}\ndata: {'x' * 8000}\n\n".encode()
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        self.wfile.write(b"0\r\n\r\n")


class StandInServer(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, owner):
        self.owner = owner
        super().__init__(address, StandInHandler)

    def handle_error(self, request, client_address):
        """The entry closes connections of requests that it gives up; that is no error of the test."""


class PlatformSystem:
    def __init__(self, harness, memory_mb, max_descriptors):
        self.harness = harness
        self.host = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{next(NEXT_HOST)}"
        self.callers, self.ready, self.entry_metrics = (f"{self.host}:{port}" for port in (21001, 21002, 21003))
        self.control_api, self.control_metrics = (f"{self.host}:{port}" for port in (21004, 21005))
        self.seen = []
        self.heartbeats = itertools.count(1)
        self.closing = threading.Event()
        limits = {"memory_mb": memory_mb, "max_descriptors": max_descriptors}
        common = {"zone": "z", "internal_ports": [21010, 21020], "seeds": [self.control_api]}
        self.control = self._process("control", {
            **common, "name": "c", "listen": self.control_api, "metrics_listen": self.control_metrics,
            "first_start": True, "data_folder": str(harness.folder / "data"), "heartbeat_ms": HEARTBEAT_MS}, limits)
        self.entry = self._process("entry", {
            **common, "name": "e", "listen": self.callers, "ready_listen": self.ready,
            "metrics_listen": self.entry_metrics, "retry_slack": 1000}, limits)
        self.server = StandInServer((self.host, 0), self)
        self.threads = [threading.Thread(target=self.server.serve_forever, daemon=True),
                        threading.Thread(target=self._beat, daemon=True)]

    def _process(self, role, settings, limits):
        """Adds a process; the limits are left out for a program that does not know them yet, so that the same crowd can
        be shown to such a program."""
        binary = f"tamarackcove-platform-{role}"
        if accepts(binary, {**settings, **limits}, self.harness.folder):
            settings = {**settings, **limits}
        return self.harness.add_process(binary, settings, role)

    def start(self):
        self.control.start(wait=False)
        self.entry.start(wait=False)
        wait_for(self._configure, 20, "the configuration was not accepted")
        for thread in self.threads:
            thread.start()
        wait_for(lambda: self.ordinary_request() == 200, 30, "no ordinary request was answered")
        return self

    def close(self):
        self.closing.set()
        self.server.shutdown()
        self.server.server_close()

    def report(self):
        return {"born": 1, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 0}

    def _configure(self):
        def route(name, kind):
            return {"name": name, "host": "h", "pathPrefix": f"/{name}/", "type": kind, "service": "s",
                    "timeoutMs": ROUTE_TIMEOUT_MS, "attempts": 3 if kind == "idempotent" else 1}
        document = {"version": 1, "services": [{"name": "s"}],
                    "routes": [route("repeat", "idempotent"), route("once", "nonIdempotent"),
                               route("stream", "streaming")],
                    "limits": {"maxHeaderBytes": MAX_HEAD_BYTES, "maxBodyBytes": MAX_BODY_BYTES,
                               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        try:
            return requests.post(f"http://{self.control_api}/v1/Config.Replace", json=document,
                                 timeout=5).status_code == 200
        except requests.RequestException:
            return False

    def _beat(self):
        host, port = self.server.server_address
        while not self.closing.wait(0.3):
            beat = {"service": "s", "addr": f"{host}:{port}", "zone": "z", "slots": 64, "state": "ready",
                    **self.report(), "seq": next(self.heartbeats)}
            try:
                requests.post(f"http://{self.control_api}/v1/Instances.Heartbeat/s1", json=beat, timeout=2)
            except requests.RequestException:
                pass

    def ordinary_request(self):
        """The status of a small request of an ordinary caller; 0 if there is no answer."""
        return self.status_of(f"http://{self.callers}/once/ordinary", host="h")

    def status_of(self, url, **headers):
        try:
            return requests.get(url, headers={"Tamarackcove-Attempt-Id": f"o{time.time_ns()}", **headers},
                                timeout=10).status_code
        except requests.RequestException:
            return 0


def status_bytes(process, key):
    for line in pathlib.Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith(f"{key}:"):
            return int(line.split()[1]) * 1024
    raise AssertionError(f"no {key} in the status of {process.name}")


def reset_peak_memory(process):
    pathlib.Path(f"/proc/{process.popen.pid}/clear_refs").write_text("5")


def open_descriptors(process):
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))

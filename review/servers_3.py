"""Stand-in servers of a plain service: they announce themselves at the control hosts and answer requests."""

import http.server
import itertools
import socket
import socketserver
import threading
import time

from kit_3 import call


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def _answer(self):
        owner = self.server.owner
        body = self.rfile.read(int(self.headers.get("content-length", 0)))
        owner.handle(self, body)

    do_GET = do_POST = _answer

    def reply(self, status, body=b"", **headers):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        if "Tamarackcove-Attempt-Id" in self.headers:
            self.send_header("Tamarackcove-Attempt-Id", self.headers["Tamarackcove-Attempt-Id"])
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.end_headers()
        self.wfile.write(body)


class _Listener(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, owner):
        self.owner = owner
        self.open_sockets = set()
        super().__init__(address, _Handler)

    def process_request(self, request, client_address):
        self.open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """A caller that has left is no error of the stand-in."""


class PlainServer:
    """One start of a server. `work_s` is how long it works on a request."""

    def __init__(self, deployment, record, identity, service, host, zone, slots=6, work_s=0.015, born=None, port=0):
        self.deployment, self.record = deployment, record
        self.id, self.service, self.zone, self.slots, self.work_s = identity, service, zone, slots, work_s
        self.born = born or int(time.time() * 1000)
        self.ran = []
        self.sequence = itertools.count(1)
        self.beating = threading.Event()
        self.beat_thread = None
        self.heartbeat_address = None
        self.listener = _Listener((host, port), self)
        self.address = f"{host}:{self.listener.server_address[1]}"
        threading.Thread(target=self.listener.serve_forever, args=(0.02,), daemon=True).start()

    def handle(self, request, body):
        if request.headers.get("Tamarackcove-Expect-Instance", self.id) != self.id:
            return request.reply(421, Tamarackcove_Instance_Id=self.id)
        if request.path == "/healthz":
            return request.reply(200, Tamarackcove_Instance_Id=self.id)
        attempt = request.headers.get("Tamarackcove-Attempt-Id", "")
        self.ran.append((time.monotonic(), attempt))
        self.record.line(f"{self.id} runs {attempt}")
        time.sleep(self.work_s)
        return request.reply(200, self.id.encode(), Tamarackcove_Server_Seal="seal")

    def beat_body(self, state="ready"):
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "coldLeftMs": 0, "seq": next(self.sequence), "born": self.born}

    def deliver(self, body, what="heartbeat"):
        answer = self.deployment.call_any("POST", f"/v1/Instances.Heartbeat/{self.id}", body, 1.0)
        self.record.line(f"{self.id} {what} seq {body['seq']} {body['state']}: {answer and answer[0]}")
        return answer is not None and answer[0] == 200

    def start_beating(self, interval=1.2):
        def run():
            while not self.beating.is_set():
                self.deliver(self.beat_body())
                self.beating.wait(interval)
        self.beating.clear()
        self.beat_thread = threading.Thread(target=run, daemon=True)
        self.beat_thread.start()

    def stop_beating(self):
        self.beating.set()
        self.beat_thread.join()

    def deregister(self):
        answer = self.deployment.call_any("POST", f"/v1/Instances.Deregister/{self.id}", None, 1.0)
        self.record.say(f"{self.id} Deregister: {answer and answer[0]}")
        return answer is not None and answer[0] == 200

    def close(self):
        """Ends the server: it stops to listen, and its connections end with what runs on them."""
        self.beating.set()
        self.listener.shutdown()
        self.listener.server_close()
        for open_socket in list(self.listener.open_sockets):
            try:
                open_socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

"""Two services of which one is disturbed: how often their requests are served, for the rule Starved."""

import itertools
import threading
import time

from kit_3 import call, wait_for

QUARTER = 0.25


def route(name, prefix, kind, service, attempts):
    return {"name": name, "host": "desk.example", "pathPrefix": prefix, "type": kind, "timeoutMs": 800, "goalMs": 150,
            "priority": 2, "service": service, "attempts": attempts}


def configuration(version=3):
    """Each version differs from the one before in the time-out of an idle route."""
    idle = {**route("r-idle", "/idle/", "idempotent", "board", 1), "timeoutMs": 800 + version}
    services = [{"name": name, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": False}
                for name in ("desk", "board")]
    return {"version": version, "services": services,
            "routes": [route("r-pay", "/pay/", "non_idempotent", "desk", 1),
                       route("r-read", "/read/", "idempotent", "board", 2), idle],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


class Clients:
    """Send requests of both kinds to both entries, and keep what they were answered and when."""

    def __init__(self, deployment, record):
        self.answers = {"pay": [], "read": []}
        self._deployment, self._record = deployment, record
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(kind, entry), daemon=True)
                         for kind in self.answers for entry in (0, 1)]
        for thread in self._threads:
            thread.start()

    def _run(self, kind, entry):
        address = (self._deployment.entry_hosts[entry], self._deployment.front_port)
        for count in itertools.count():
            if self._stop.is_set():
                return
            attempt = f"{kind}-{entry}-{count}"
            answer = call(address, "POST" if kind == "pay" else "GET", f"/{kind}/2f", b"payment" if kind == "pay" else None,
                          3.0, {"Host": "desk.example", "Tamarackcove-Attempt-Id": attempt,
                                "Tamarackcove-Deadline-Ms": "1500"})
            self.answers[kind].append((time.monotonic(), answer is not None and answer[0] == 200))
            self._record.line(f"client {attempt}: {answer[0] if answer else 'no answer'}")
            time.sleep(0.1)

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join(5)

    def served_since(self, kind, since):
        answers = [served for at, served in self.answers[kind] if at >= since]
        return sum(answers), len(answers)

    def starved_since(self, since, record):
        """Whether payments were served less than a quarter as often as all requests since then."""
        paid, payments = self.served_since("pay", since)
        read, reads = self.served_since("read", since)
        share = (paid + read) / max(payments + reads, 1)
        record.say(f"{paid} of {payments} payments and {read} of {reads} readings were served")
        return payments > 0 and paid / payments < QUARTER * share


def await_ready(deployment):
    wait_for(lambda: deployment.ready(0) and deployment.ready(1), 15, "the entries did not become ready")

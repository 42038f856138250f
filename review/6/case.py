"""A server leaves with Instances.Deregister. The node that serves `control` and has acknowledged it loses its process
right after. The server must get no work later than `drainMs` after the ack from machines that are in touch."""

import http.client
import os
import pathlib
import random
import signal
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from kit_2 import LIMITS, TROUBLE, CannotRun, Server, System, call, main, route, wait_until  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
RESTART_S = 0.3
STAYS_S = 8.0
INTERVAL_S = 0.02


def keep_sending(system, record, stopping, answered, entry):
    number = 0
    while not stopping.is_set():
        number += 1
        attempt = f"e{entry}-{number:05d}"
        record.line(f"client sends {attempt}")
        try:
            status, _, _ = call((system.entry_hosts[entry], system.port), "GET", f"/look/{number}",
                                {"Host": "desk.example", "Tamarackcove-Attempt-Id": attempt,
                                 "Tamarackcove-Deadline-Ms": "1500"})
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
        record.line(f"client got {status} for {attempt}")
        answered.append(status)
        time.sleep(INTERVAL_S)


def deregister(system, record, server):
    """Sends Instances.Deregister to the node that the last heartbeat named. With TROUBLE, that node's process is killed
    as soon as the ack has arrived. Returns the time of the ack and the host of the node."""
    node = server.heartbeat_address
    if node is None:
        raise CannotRun("the server knows no node that serves control")
    pid = system.processes[("control", node[0])].pid
    with socket.create_connection(node, timeout=2) as connection:
        connection.sendall(f"POST /v1/Instances.Deregister/{server.name} HTTP/1.1\r\nHost: control\r\n"
                           "Content-Length: 0\r\n\r\n".encode())
        answer = connection.recv(4096)
        if answer.startswith(b"HTTP/1.1 200 ") and TROUBLE:
            os.kill(pid, signal.SIGKILL)
    acked = time.monotonic()
    record.line(f"{server.name} sent Instances.Deregister to {node[0]}, answered {answer.split(b' ')[1].decode()}")
    if not answer.startswith(b"HTTP/1.1 200 "):
        raise CannotRun("the departure was not acknowledged")
    return acked, node[0]


def play(record):
    system = System(record, controls=3, entries=2)
    arrivals = []
    system.on_arrival = lambda server, attempt: arrivals.append((time.monotonic(), server.name, attempt))
    stopping = threading.Event()
    try:
        leaving = system.add(Server(system, "desk", "i-leaving"))
        system.add(Server(system, "desk", "i-staying"))
        system.start({"version": 1, "services": [{"name": "desk", "healthPath": "/healthz", "maxConns": 100}],
                      "routes": [route("look", "idempotent", "desk", 1500, attempts=2)], "limits": LIMITS})
        answered = []
        for entry in range(2):
            threading.Thread(target=keep_sending, args=(system, record, stopping, answered, entry),
                             daemon=True).start()

        def got_lately(name, seconds):
            since = time.monotonic() - seconds
            return any(at > since and server == name for at, server, _ in list(arrivals))

        wait_until(lambda: got_lately("i-leaving", 1) and got_lately("i-staying", 1), 15, "a server gets no requests")
        time.sleep(4 + random.random())
        leaving.quiet.set()
        time.sleep(0.3)
        acked, host = deregister(system, record, leaving)
        stable_from = acked
        if TROUBLE:
            record.line(f"the control process of {host} was killed")
            system.processes[("control", host)].wait()
            time.sleep(RESTART_S)
            system.start_process("control", host)
            record.line(f"the control process of {host} is started again")
            stable_from = time.monotonic()
        time.sleep(STAYS_S - (time.monotonic() - acked))
        leaving.stop()
        record.line("i-leaving exits")
        stopping.set()
        if system.ended_processes():
            raise CannotRun(str(system.ended_processes()))
        # Machines are in touch again contactMs after the last event of the core.
        counted_from = max(acked + DRAIN_S, stable_from + CONTACT_S if TROUBLE else 0)
        late = [(at, attempt) for at, name, attempt in arrivals if name == "i-leaving" and at > acked + DRAIN_S]
        counted = [(at, attempt) for at, attempt in late if at > counted_from]
        record.say(f"{len(answered)} requests; {len(late)} reached i-leaving later than {DRAIN_S} s after the ack of its "
                   f"departure, {len(counted)} of them from machines in touch"
                   + (f", the last {counted[-1][0] - acked:.3f} s after it" if counted else ""))
        return not counted
    finally:
        stopping.set()
        system.close()


main(HERE, play)

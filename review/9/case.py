"""One of five servers is cut off from the nodes that serve `control` for five seconds and leaves right after. Its
departure is acknowledged; then one of its earlier liveness reports arrives late. It must get no work `drainMs` after the
ack."""

import http.client
import json
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from kit_2 import LIMITS, TROUBLE, CannotRun, Server, System, call, main, route, wait_until  # noqa: E402

CUT_S = 5.0
BEFORE_CUT_S = 1.1
LATE_S = 0.6
DRAIN_S = 2.0
STAYS_S = 7.0
INTERVAL_S = 0.05


def keep_sending(system, record, stopping, answered):
    number = 0
    while not stopping.is_set():
        number += 1
        attempt = f"a{number:05d}"
        record.line(f"client sends {attempt}")
        try:
            status, _, _ = call((system.entry_hosts[0], system.port), "GET", f"/look/{number}",
                                {"Host": "desk.example", "Tamarackcove-Attempt-Id": attempt,
                                 "Tamarackcove-Deadline-Ms": "1500"})
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
        record.line(f"client got {status} for {attempt}")
        answered.append(status)
        time.sleep(INTERVAL_S)


def play(record):
    system = System(record, controls=3, entries=1)
    arrivals = []
    system.on_arrival = lambda server, attempt: arrivals.append((time.monotonic(), server.name, attempt))
    stopping = threading.Event()
    try:
        leaving = system.add(Server(system, "desk", "i-leaving"))
        for number in range(4):
            system.add(Server(system, "desk", f"i-staying-{number}"))
        system.start({"version": 1, "services": [{"name": "desk", "healthPath": "/healthz", "maxConns": 100}],
                      "routes": [route("look", "idempotent", "desk", 1500, attempts=2)], "limits": LIMITS})
        answered = []
        threading.Thread(target=keep_sending, args=(system, record, stopping, answered), daemon=True).start()

        def got_lately(name, seconds):
            since = time.monotonic() - seconds
            return any(at > since and server == name for at, server, _ in list(arrivals))

        wait_until(lambda: got_lately("i-leaving", 2) and got_lately("i-staying-0", 2), 15, "a server gets no requests")
        # The cut begins shortly before the next report is due: 6.1 s pass between two reports that arrive.
        beats = leaving.acked_beats
        wait_until(lambda: leaving.acked_beats > beats, 5, "a report of i-leaving was not acknowledged")
        time.sleep(BEFORE_CUT_S)
        if TROUBLE:
            record.line(f"i-leaving is cut off from control for {CUT_S} s")
            leaving.quiet.set()
            leaving.heartbeat_address = None
        time.sleep(CUT_S - 1)
        # The report that will be late: sent in the cut, and held up on its way.
        late = json.dumps(leaving.heartbeat()).encode()
        record.line(f"i-leaving sends the report {late.decode()}; it is late")
        time.sleep(1)
        if TROUBLE:
            record.line("the cut has healed")
        else:
            leaving.quiet.set()
        status = leaving.deregister()
        acked = time.monotonic()
        record.line(f"i-leaving sent Instances.Deregister, answered {status}")
        if status != 200:
            raise CannotRun("the departure was not acknowledged")
        time.sleep(LATE_S)
        status = leaving.tell_control(f"/v1/Instances.Heartbeat/{leaving.name}", late)
        record.line(f"the late report arrives, answered {status}")
        time.sleep(STAYS_S - LATE_S)
        leaving.stop()
        record.line("i-leaving exits")
        stopping.set()
        if system.ended_processes():
            raise CannotRun(str(system.ended_processes()))
        late_work = [attempt for at, name, attempt in arrivals if name == "i-leaving" and at > acked + DRAIN_S]
        record.say(f"{len(answered)} requests; {len(late_work)} reached i-leaving later than {DRAIN_S} s after the ack "
                   "of its departure" + (f", the first {late_work[0]}" if late_work else ""))
        return not late_work
    finally:
        stopping.set()
        system.close()


main(HERE, play)

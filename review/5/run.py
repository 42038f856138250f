"""A request without prompt parts crashes each server that begins to run it, and comes again.

Exits with 1 if the rule is broken, 0 if it holds, 2 if the case could not run.
"""
import os
import pathlib
import sys
import threading
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import (CONTACT_S, Record, ServerPlace, System, call_control, plain_configuration, plain_route,  # noqa: E402
                       send_request)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
TRAFFIC_S = 30
DEADLY_INTERVAL_S = 1.0
MAX_RETRIES = 3


def main():
    record = Record(FOLDER / "record.txt")
    system = System(record)
    try:
        return run(system, record)
    finally:
        system.close()


def run(system, record):
    for machine in [*system.controls, *system.entries]:
        machine.start(first_start=True)
    servers = [ServerPlace(system, number) for number in range(4)]
    routes = [plain_route("lookup", "/lookup/", "idempotent", 2), plain_route("pay", "/pay/", "non_idempotent", 1)]
    accepted = call_control(system.control_addresses(), "POST", "/v1/Config.Replace", plain_configuration(1, routes))
    record.add(f"operator: configuration 1 answered {accepted and accepted[0]}")
    if accepted is None or accepted[0] != 200 or not wait_until_served(system):
        record.add("the system does not serve; the case cannot run")
        return 2

    answers = []
    stop = threading.Event()

    def pay(number):
        while not stop.is_set():
            attempt = uuid.uuid4().hex[:16]
            entry = system.entries[number % len(system.entries)]
            answer = send_request(entry.front, "POST", f"/pay/{number}", HOST, attempt, b"x" * 100)
            answers.append((time.monotonic(), attempt, answer))
            if answer is None or answer[0] != 200:
                record.add(f"client: payment {attempt} answered {answer and answer[0]}")
            stop.wait(0.1)

    payers = [threading.Thread(target=pay, args=(number,), daemon=True) for number in range(8)]
    for payer in payers:
        payer.start()
    time.sleep(CONTACT_S + 1)  # the machines are in touch
    end = time.monotonic() + TRAFFIC_S
    number = 0
    while time.monotonic() < end:
        if TROUBLE:
            number += 1
            attempt = uuid.uuid4().hex[:16]
            entry = system.entries[number % len(system.entries)]
            record.add(f"client: deadly request, attempt {attempt}, to {entry.name}")
            answer = send_request(entry.front, "GET", "/lookup/deadly/1", HOST, attempt)
            record.add(f"client: deadly request, attempt {attempt}, answered {answer and answer[0]}")
        time.sleep(DEADLY_INTERVAL_S)
    stop.set()
    for payer in payers:
        payer.join(5)
    return judge(record, servers, answers)


def wait_until_served(system):
    end = time.monotonic() + 20
    for entry in system.entries:
        while True:
            answer = send_request(entry.front, "GET", "/lookup/1", HOST, uuid.uuid4().hex[:16])
            if system.entry_ready(entry) and answer is not None and answer[0] == 200:
                break
            if time.monotonic() > end:
                return False
            time.sleep(0.2)
    return True


def judge(record, servers, answers):
    events = sorted((event for server in servers for event in list(server.events)), key=lambda event: event["at"])
    crashes = [event for event in events if event["event"] == "crashes"]
    ran = {event["attempt"] for event in events if event["event"] == "runs"}
    lost = [attempt for _, attempt, answer in answers if attempt in ran and (answer is None or answer[0] != 200)]
    record.add(f"result: {len(answers)} payments sent, {len(lost)} of them had begun to run and got no success")
    if not crashes:
        record.add("result: no server crashed")
        return 0 if not TROUBLE and not lost else 2
    late = []
    if len(crashes) >= 3:
        # Entries have been in touch all the while: nothing was done to them, to control or to a link.
        limit = crashes[2]["at"] + CONTACT_S
        late = [event for event in crashes if event["at"] > limit]
    record.add(f"result: the request crashed {len(crashes)} servers; it reached servers {len(late)} times later than "
               f"{CONTACT_S} s after the third crash; {MAX_RETRIES} are allowed")
    return 1 if len(late) > MAX_RETRIES else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # the case could not run
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)

"""The body of a request holds the text of another request, and its head says Transfer-Encoding: identity.

Exits with 1 if the rule is broken, 0 if it holds, 2 if the case could not run.
"""
import os
import pathlib
import re
import socket
import sys
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import Record, ServerPlace, System, call_control, plain_configuration, plain_route, send_request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
TRIES = 10


def main():
    record = Record(FOLDER / "record.txt")
    system = System(record)
    try:
        return run(system, record)
    finally:
        system.close()


def exchange(address, text):
    """Sends the bytes on a new channel; returns the status lines that come back within a second."""
    received = b""
    with socket.create_connection(address, timeout=1) as channel:
        channel.sendall(text.encode())
        channel.settimeout(1)
        try:
            while chunk := channel.recv(65536):
                received += chunk
        except OSError:
            pass
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+) ", received)]


def run(system, record):
    for machine in [*system.controls, *system.entries]:
        machine.start(first_start=True)
    servers = [ServerPlace(system, number) for number in range(2)]
    routes = [plain_route("note", "/note/", "non_idempotent", 1), plain_route("pay", "/pay/", "non_idempotent", 1)]
    accepted = call_control(system.control_addresses(), "POST", "/v1/Config.Replace", plain_configuration(1, routes))
    end = time.monotonic() + 20
    answer = None
    while time.monotonic() < end and (answer is None or answer[0] != 200):
        answer = send_request(system.entries[0].front, "POST", "/note/0", HOST, uuid.uuid4().hex[:16])
        time.sleep(0.2)
    if accepted is None or accepted[0] != 200 or answer is None or answer[0] != 200:
        record.add("the system does not serve; the case cannot run")
        return 2
    sent = {}
    smuggled = []
    for number in range(TRIES):
        outer, inner = uuid.uuid4().hex[:16], uuid.uuid4().hex[:16]
        body = (f"POST /pay/{number} HTTP/1.1\r\nHost: {HOST}\r\nTamarackcove-Attempt-Id: {inner}\r\n"
                "Tamarackcove-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n")
        framing = "Transfer-Encoding: identity" if TROUBLE else f"Content-Length: {len(body)}"
        text = (f"POST /note/{number} HTTP/1.1\r\nHost: {HOST}\r\nTamarackcove-Attempt-Id: {outer}\r\n"
                f"Tamarackcove-Deadline-Ms: 1500\r\n{framing}\r\n\r\n{body}")
        sent[outer] = len(body)
        smuggled.append(inner)
        record.add(f"client: request {outer} for /note/{number}, {framing}, its body of {len(body)} bytes holds the text "
                   f"of a request {inner} for /pay/{number}")
        statuses = exchange(system.entries[0].front, text)
        record.add(f"client: the channel of {outer} gave the answers {statuses}")
        time.sleep(0.1)
    time.sleep(1)
    events = [event for server in servers for event in list(server.events) if event["event"] == "runs"]
    unasked = [event for event in events if event["attempt"] in smuggled]
    changed = [event for event in events if event["attempt"] in sent and event["bytes"] != sent[event["attempt"]]]
    record.add(f"result: servers ran {len(unasked)} requests that were in the body of another one, and {len(changed)} "
               f"requests with another body than the client's, of {TRIES} sent")
    return 1 if unasked or changed else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # the case could not run
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)

"""A server leaves before its first report has arrived, and starts again under its id; see claim.txt."""

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit_3 import CannotRun, Deployment, Record, wait_for  # noqa: E402
from servers_3 import PlainServer  # noqa: E402
from starved_3 import Clients, await_ready, configuration  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WATCH_S = 36
CHANGE_S = 7.8     # 11,000 changes a day


def play(deployment, record, servers):
    def start(identity, service, host, beats=True):
        server = PlainServer(deployment, record, identity, service, f"{deployment.server_net}.{host}", "z1")
        servers.append(server)
        if beats:
            server.start_beating()
        return server

    deployment.start()
    deployment.put_configuration(configuration())
    board = start("i-3", "board", 203)
    await_ready(deployment)
    clients = Clients(deployment, record)
    wait_for(lambda: board.ran, 15, "the server got no requests")
    first = [start(f"i-{number}", "desk", 200 + number, beats=False) for number in (1, 2)]
    reports = [server.beat_body() for server in first]
    if not TROUBLE:
        for server, report in zip(first, reports):
            if not server.deliver(report):
                raise CannotRun("a report was not acknowledged")
    record.say("i-1 and i-2 have sent their first reports" + (", which are late" if TROUBLE else ""))
    time.sleep(0.2)
    for server in first:
        if not server.deregister():
            raise CannotRun("a departure was not acknowledged")
    time.sleep(2.5)
    for server in first:
        server.close()
    time.sleep(1)
    again = [start(f"i-{number}", "desk", 200 + number) for number in (1, 2)]
    started = time.monotonic()
    record.say("i-1 and i-2 have started again under their ids")
    version = 4
    while time.monotonic() < started + WATCH_S:
        deployment.put_configuration(configuration(version))
        record.say(f"configuration {version} was acknowledged")
        version += 1
        time.sleep(CHANGE_S)
    clients.stop()
    record.say(f"i-1 and i-2 have run {sum(len(server.ran) for server in again)} payments since")
    return not clients.starved_since(started + 3, record)


def main():
    record = Record(HERE)
    deployment = Deployment(record)
    servers = []
    try:
        held = play(deployment, record, servers)
    except CannotRun as reason:
        record.say(f"cannot run: {reason}")
        return 2
    finally:
        for server in servers:
            try:
                server.close()
            except OSError:
                pass
        deployment.close()
    record.say("the rule held" if held else "Starved is broken")
    return 0 if held else 1


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)

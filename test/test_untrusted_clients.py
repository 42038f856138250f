"""Clients that the operators do not control made an entry run out of memory. Each test sends one kind of such traffic
to the platform programs and checks that the process lives, that its memory and descriptors stay under a bound, and that
an ordinary request is answered while the clients are still connected. No times and no shares are checked."""

import time

import pytest

import untrusted_clients as clients
from harness import wait_for
from platform_system import PlatformSystem, open_descriptors, reset_peak_memory, status_bytes

MEMORY_MB = 64
MAX_DESCRIPTORS = 256
# What a crowd may add to the peak memory of a process: what the process may hold for clients, half of MEMORY_MB, and the
# body that is being moved to a larger allocation.
MAX_GROWTH_BYTES = 40 * 1024 * 1024
CROWD = 40
SILENT_CROWD = 400
SMALL_RECEIVE_BUFFER = 4096


@pytest.fixture
def system(harness):
    started = PlatformSystem(harness, MEMORY_MB, MAX_DESCRIPTORS).start()
    yield started
    started.close()


@pytest.fixture
def check(system):
    """Runs a crowd and makes all checks; returns the crowd."""
    crowds = []

    def run(address, behave, count=CROWD, receive_buffer=None, timeout=20):
        on_control = address in (system.control_api, system.control_metrics)
        process = system.control if on_control else system.entry
        reset_peak_memory(process)
        before = status_bytes(process, "VmRSS")
        crowd = clients.Crowd(address, count, behave, receive_buffer)
        crowds.append(crowd)
        most_descriptors = 0
        deadline = time.monotonic() + timeout
        while any(thread.is_alive() for thread in crowd.threads) and time.monotonic() < deadline:
            if process.running():
                most_descriptors = max(most_descriptors, open_descriptors(process))
            time.sleep(0.05)
        assert process.running(), process.tail()
        most_descriptors = max(most_descriptors, open_descriptors(process))
        grown = status_bytes(process, "VmHWM") - before
        print(f"grown {grown / 1048576:.1f} MiB, descriptors {most_descriptors}, statuses "
              f"{sorted(crowd.statuses().values())}")
        assert grown < MAX_GROWTH_BYTES, f"{process.name} has grown by {grown / 1048576:.1f} MiB"
        assert most_descriptors < MAX_DESCRIPTORS
        wait_for(lambda: system.ordinary_request() == 200, 20, f"no ordinary request is answered:\n{process.tail()}")
        wait_for(lambda: system.status_of(f"http://{system.ready}/v1/readyz") == 200, 20, "no readiness is answered")
        for metrics in (system.entry_metrics, system.control_metrics):
            wait_for(lambda one=metrics: system.status_of(f"http://{one}/metrics") == 200, 20, "no metrics are answered")
        refused = {attempt for attempt, status in crowd.statuses().items() if status in (413, 503)}
        assert not refused & set(system.seen), "a request was refused as not run and passed on nevertheless"
        return crowd
    yield run
    for crowd in crowds:
        crowd.close()


LISTENERS = ["callers", "control_api", "ready", "entry_metrics", "control_metrics"]


@pytest.mark.parametrize("body", [True, False], ids=["body", "empty"])
@pytest.mark.parametrize("line,slowly", [(True, False), (False, False), (False, True)], ids=["lines", "long", "slow"])
def test_endless_trailer(system, check, body, line, slowly):
    check(system.callers, lambda client: clients.endless_trailer(client, "/repeat/x", body, line, slowly))


@pytest.mark.parametrize("listener", LISTENERS[1:])
def test_endless_trailer_elsewhere(system, check, listener):
    check(getattr(system, listener),
          lambda client: clients.endless_trailer(client, "/v1/Config.Replace", True, False, False))


@pytest.mark.parametrize("listener,how", [("callers", "announced"), ("callers", "small"), ("callers", "expected"),
                                          *((listener, "chunked") for listener in LISTENERS)])
def test_body_over_the_limit(system, check, listener, how):
    check(getattr(system, listener), lambda client: clients.body_over_the_limit(client, "/once/x", how))


@pytest.mark.parametrize("how", ["whole", "pieces", "short"])
@pytest.mark.parametrize("path", ["/repeat/slow", "/once/slow"])
def test_many_legal_bodies(system, check, path, how):
    check(system.callers, lambda client: clients.legal_body(client, path, how))


@pytest.mark.parametrize("listener,how", [("control_api", "whole"),
                                          *((listener, "short") for listener in LISTENERS[1:])])
def test_many_legal_bodies_elsewhere(system, check, listener, how):
    check(getattr(system, listener), lambda client: clients.legal_body(client, "/v1/Config.Replace", how))


@pytest.mark.parametrize("listener", ["callers", "control_api"])
def test_many_chunked_bodies_stay_open(system, check, listener):
    check(getattr(system, listener), lambda client: clients.chunked_body(client, "/once/x"))


@pytest.mark.parametrize("kind", ["lines", "long", "bytes"])
def test_odd_heads(system, check, kind):
    check(system.callers, lambda client: clients.odd_head(client, kind))


@pytest.mark.parametrize("listener", ["callers", "control_api", "ready"])
def test_silent_connections(system, check, listener):
    check(getattr(system, listener), lambda client: None, SILENT_CROWD)


def test_pipelined_requests_without_reading(system, check):
    check(system.callers, lambda client: clients.pipelined(client, "/repeat/large"),
          receive_buffer=SMALL_RECEIVE_BUFFER)


@pytest.mark.parametrize("path", ["/repeat/large", "/stream/x"])
def test_answers_that_are_not_read(system, check, path):
    def behave(client):
        clients.unread(client, path)
        time.sleep(5)
    check(system.callers, behave, receive_buffer=SMALL_RECEIVE_BUFFER)


def test_mix(system, check):
    def behave(client):
        kind = client.number % 5
        if kind == 0:
            clients.endless_trailer(client, "/once/x", True, False, False)
        elif kind == 1:
            clients.legal_body(client, "/once/slow", "short")
        elif kind == 2:
            clients.legal_body(client, "/repeat/slow", "whole")
        elif kind == 3:
            clients.chunked_body(client, "/once/x")
        else:
            clients.unread(client, "/repeat/large")
    check(system.callers, behave, 3 * CROWD, SMALL_RECEIVE_BUFFER)
